#include "experiment_page.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <set>
#include <sstream>

namespace lab {

namespace {

constexpr double plot_width = 640;
constexpr double plot_height = 200;
constexpr std::array colours{"#0b6e4f", "#c1121f", "#3a5ba0", "#b07d00",
                             "#6a4c93", "#444444", "#d0679f", "#2a9d8f"};

std::string percent(double share)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << share * 100 << '%';
    return text.str();
}

void write_table(std::ostream& out, std::span<const run_result> all)
{
    out << "<table><tr><th>pattern</th><th>policy</th><th>earned</th><th>on time</th>"
           "<th>refused</th><th>sends over the load bound</th><th>shared tokens read</th>"
           "<th>copied</th></tr>\n";
    for (const run_result& item : all) {
        out << "<tr><td>" << item.pattern << "</td><td>" << item.policy << "</td><td>"
            << percent(item.result.earned_share()) << "</td><td>"
            << percent(item.result.on_time_share()) << "</td><td>"
            << percent(item.result.refused_share()) << "</td><td>"
            << percent(item.result.over_bound) << "</td><td>"
            << item.result.totals.shared_tokens_read << "</td><td>"
            << item.result.totals.shared_tokens_copied << "</td></tr>\n";
    }
    out << "</table>\n";
}

void write_line(std::ostream& out, const std::vector<double>& values, const char* colour)
{
    out << "<polyline fill='none' stroke-width='2' stroke='" << colour << "' points='";
    for (std::size_t i = 0; i < values.size(); ++i) {
        const double x = plot_width * static_cast<double>(i) /
                         static_cast<double>(std::max<std::size_t>(values.size() - 1, 1));
        out << x << ',' << plot_height * (1 - values[i]) << ' ';
    }
    out << "'/>\n";
}

void write_plot(std::ostream& out, std::span<const run_result> all, const std::string& pattern)
{
    out << "<h2>" << pattern
        << "</h2><p>Share on time by second of the first attempt.</p>\n<svg width='"
        << plot_width + 220 << "' height='" << plot_height + 10 << "' viewBox='-5 -5 "
        << plot_width + 220 << ' ' << plot_height + 10 << "'>\n<rect width='" << plot_width
        << "' height='" << plot_height << "' fill='none' stroke='#999'/>\n";
    std::set<std::string> drawn_policies;
    for (const run_result& item : all) {
        // Only the first seed of each policy is drawn.
        if (item.pattern != pattern || !drawn_policies.insert(item.policy).second) continue;
        const char* colour = colours[(drawn_policies.size() - 1) % colours.size()];
        write_line(out, item.result.on_time_by_second, colour);
        constexpr double line_height = 18;
        out << "<text x='" << plot_width + 10 << "' y='"
            << line_height * static_cast<double>(drawn_policies.size()) << "' fill='" << colour
            << "' font-family='sans-serif' font-size='13'>" << item.policy << "</text>\n";
    }
    out << "</svg>\n";
}

} // namespace

std::string write_page(std::span<const run_result> all)
{
    std::ostringstream out;
    out << "<!doctype html><html lang='en'><meta charset='utf-8'><title>Experiment</title>"
           "<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}</style>\n"
           "<h1>Experiment</h1>\n";
    write_table(out, all);
    std::set<std::string> patterns;
    for (const run_result& item : all)
        patterns.insert(item.pattern);
    for (const std::string& pattern : patterns)
        write_plot(out, all, pattern);
    out << "</html>\n";
    return out.str();
}

} // namespace lab
