#include "bounds.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <stdexcept>

namespace masticcourse::bench
{

namespace
{

constexpr double load_tolerance = 0.001;
const std::string ours = "masticcourse";

double figure_of(const run_summary& summary, const std::string& figure)
{
    if (figure == "p95")
    {
        return summary.p95;
    }
    if (figure == "wasted")
    {
        return summary.wasted();
    }
    if (figure == "goodput")
    {
        return summary.goodput;
    }
    throw std::runtime_error{"unknown figure " + figure};
}

const load_row& row_of(const std::vector<load_row>& rows, const bound& it, const std::string& system)
{
    const auto row = std::ranges::find_if(rows,
                                          [&](const load_row& candidate)
                                          {
                                              return candidate.mix == it.mix && candidate.system == system &&
                                                     std::abs(candidate.load - it.load) < load_tolerance;
                                          });
    if (row == rows.end())
    {
        throw std::runtime_error{"no run of " + system + " with mix " + it.mix};
    }
    return *row;
}

double peak_of(const std::vector<load_row>& rows, const bound& it)
{
    double peak = 0;
    for (const auto& row : rows)
    {
        if (row.mix == it.mix && row.system == ours)
        {
            peak = std::max(peak, figure_of(row.summary, it.figure));
        }
    }
    return peak;
}

bool holds(const bound& it, double ratio)
{
    return it.direction == "at_most" ? ratio <= it.limit : ratio >= it.limit;
}

} // namespace

std::vector<bound> read_bounds(std::istream& in)
{
    std::vector<bound> bounds;
    std::string line;
    while (std::getline(in, line))
    {
        if (line.empty() || line.front() == '#')
        {
            continue;
        }
        std::istringstream words{line};
        bound it;
        words >> it.mix >> it.load >> it.figure >> it.direction >> it.limit;
        std::getline(words >> std::ws, it.against);
        if (it.against.empty() || (it.direction != "at_most" && it.direction != "at_least"))
        {
            throw std::runtime_error{"not a bound: " + line};
        }
        bounds.push_back(it);
    }
    return bounds;
}

bool check_bounds(const std::vector<bound>& bounds, const std::vector<load_row>& rows, std::ostream& out)
{
    bool all = true;
    for (const auto& it : bounds)
    {
        const double mine = figure_of(row_of(rows, it, ours).summary, it.figure);
        const double other = it.against == "peak"
                                 ? peak_of(rows, it)
                                 : figure_of(row_of(rows, it, it.against).summary, it.figure);
        const double ratio = mine / other;
        const bool good = holds(it, ratio);
        all = all && good;
        out << (good ? "holds " : "BROKEN ") << it.mix << ' ' << it.load << ' ' << it.figure << " is "
            << std::setprecision(3) << ratio << " of " << it.against << " (" << it.direction << ' '
            << it.limit << ")\n";
    }
    return all;
}

} // namespace masticcourse::bench
