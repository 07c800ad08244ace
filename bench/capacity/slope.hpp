/// @file
/// A straight line through measured points, and the report of all lines.
#pragma once

#include <string>
#include <vector>

namespace masticcourse::capacity
{

/// One thing measured at several sizes.
struct measurement
{
    std::string what;
    std::string per;
    std::string unit;
    std::vector<double> sizes;
    std::vector<double> values;
};

/// The line of least squares.
struct fitted_line
{
    double base = 0;
    double slope = 0;
    /// Root mean square of the residuals over the span of the values.
    double residual = 0;
    /// The residual is at most a twentieth of the span. Values that hardly change are noise, and so not
    /// linear.
    bool linear = false;
};

[[nodiscard]] fitted_line fit(const measurement& measured);

/// Writes all lines as Markdown and as CSV beside it, `capacity.md` and `capacity.csv`.
void write_report(const std::vector<measurement>& all, const std::string& folder);

} // namespace masticcourse::capacity
