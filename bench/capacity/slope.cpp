#include "slope.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace masticcourse::capacity
{

namespace
{

constexpr double linear_residual = 0.05;
constexpr int digits = 5;

std::string text_of(double value)
{
    std::ostringstream text;
    text << std::setprecision(digits) << value;
    return text.str();
}

std::string list_of(const std::vector<double>& values)
{
    std::string text;
    for (const double it : values)
    {
        text += (text.empty() ? "" : " ") + text_of(it);
    }
    return text;
}

double mean(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

void write_row(std::ostream& out, const measurement& it, const std::string& between, const std::string& begin,
               const std::string& end)
{
    const auto line = fit(it);
    out << begin << it.what << between << it.per << between << it.unit << between << list_of(it.sizes)
        << between << list_of(it.values) << between << text_of(line.base) << between << text_of(line.slope)
        << between << text_of(line.residual) << between << (line.linear ? "yes" : "no") << end << '\n';
}

} // namespace

fitted_line fit(const measurement& measured)
{
    const double x = mean(measured.sizes);
    const double y = mean(measured.values);
    double above = 0;
    double below = 0;
    for (std::size_t n = 0; n < measured.sizes.size(); ++n)
    {
        above += (measured.sizes[n] - x) * (measured.values[n] - y);
        below += (measured.sizes[n] - x) * (measured.sizes[n] - x);
    }
    fitted_line line{.slope = above / below};
    line.base = y - line.slope * x;
    double squares = 0;
    for (std::size_t n = 0; n < measured.sizes.size(); ++n)
    {
        squares += std::pow(measured.values[n] - line.base - line.slope * measured.sizes[n], 2);
    }
    const auto [low, high] = std::ranges::minmax(measured.values);
    const double span = high - low;
    const double root = std::sqrt(squares / static_cast<double>(measured.sizes.size()));
    line.residual = span > 0 ? root / span : 0;
    line.linear = line.residual <= linear_residual;
    return line;
}

void write_report(const std::vector<measurement>& all, const std::string& folder)
{
    std::ofstream page(folder + "/capacity.md");
    page << "# Slopes measured by `build/capacity bench/results`\n\n"
            "Counts and bytes are the same in every run; processor time is not. `linear` says that the\n"
            "residual (root mean square over the span of the values) is at most 0.05.\n\n"
            "| what | against | unit | sizes | values | base | slope | residual | linear |\n"
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    std::ofstream table(folder + "/capacity.csv");
    table << "what,against,unit,sizes,values,base,slope,residual,linear\n";
    for (const auto& it : all)
    {
        write_row(page, it, " | ", "| ", " |");
        write_row(table, it, R"(",")", R"(")", R"(")");
    }
}

} // namespace masticcourse::capacity
