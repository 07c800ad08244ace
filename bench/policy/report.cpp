#include "report.hpp"

#include <array>
#include <iomanip>
#include <sstream>

namespace masticcourse::bench
{

namespace
{

using cells = std::vector<std::string>;

std::string number(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

void write_row(std::ostream& out, const cells& row, table_format format)
{
    const bool markdown = format == table_format::markdown;
    out << (markdown ? "| " : "");
    for (std::size_t n = 0; n < row.size(); ++n)
    {
        out << (n == 0 ? "" : (markdown ? " | " : ",")) << row[n];
    }
    out << (markdown ? " |\n" : "\n");
}

void write_head(std::ostream& out, const cells& head, table_format format)
{
    write_row(out, head, format);
    if (format == table_format::markdown)
    {
        write_row(out, cells(head.size(), "---"), format);
    }
}

cells cells_of(const load_row& row)
{
    const auto& it = row.summary;
    return {row.mix,
            number(row.load, 1),
            row.system,
            number(it.p50, 1),
            number(it.p95, 1),
            number(it.p99, 1),
            number(it.finished_p95, 1),
            number(it.slowdown, 2),
            number(it.assistance, 2),
            number(it.recomputed, 2),
            number(it.unused, 2),
            number(it.goodput, 3),
            number(it.deadlines_met, 3),
            number(it.refused, 2),
            number(it.unfinished, 3),
            number(it.fairness, 3)};
}

cells cells_of(const fault_row& row)
{
    const auto& it = row.summary;
    return {row.mix,
            row.fault,
            row.system,
            number(it.before, 1),
            number(it.during, 1),
            number(it.after, 1),
            number(it.recovery, 0),
            number(it.program_p95, 1),
            number(it.unfinished, 3)};
}

template <typename Row>
void write_rows(std::ostream& out, const cells& head, const std::vector<Row>& rows, table_format format)
{
    write_head(out, head, format);
    for (const auto& row : rows)
    {
        write_row(out, cells_of(row), format);
    }
}

} // namespace

void write_loads(std::ostream& out, const std::vector<load_row>& rows, table_format format)
{
    write_rows(out,
               {"mix", "load", "system", "p50 s", "p95 s", "p99 s", "finished p95 s", "slowdown",
                "assistance", "recomputed k", "unused k", "goodput", "deadlines met", "refusals",
                "unfinished", "fairness"},
               rows, format);
}

void write_faults(std::ostream& out, const std::vector<fault_row>& rows, table_format format)
{
    write_rows(out,
               {"mix", "fault", "system", "call p95 before s", "during s", "after s", "recovery s",
                "program p95 s", "unfinished"},
               rows, format);
}

} // namespace masticcourse::bench
