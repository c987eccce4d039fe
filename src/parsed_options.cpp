#include "parsed_options.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "errors.h"

namespace worksshift {

namespace {

namespace options = boost::program_options;

constexpr std::string_view environment_prefix = "WORKSSHIFT_";
constexpr const char* file_option = "config";

/** Name of the option that an environment variable sets; empty if none. */
std::string option_name(const std::string& variable, const options::options_description& all)
{
    if (!variable.starts_with(environment_prefix)) return {};
    std::string name = variable.substr(environment_prefix.size());
    std::ranges::transform(name, name.begin(), [](unsigned char character) {
        return character == '_' ? '-' : static_cast<char>(std::tolower(character));
    });
    const bool known = !name.empty() && all.find_nothrow(name, false) != nullptr;
    return known ? name : std::string();
}

void read_file(const std::string& path, const options::options_description& all,
               options::variables_map& values)
{
    std::ifstream file(path);
    if (!file) {
        throw user_error("settings", "", std::string(file_option) + "=" + path + " cannot be read");
    }
    options::store(options::parse_config_file(file, all), values);
}

} // namespace

parsed_options read_options(const options::options_description& all, int count,
                            const char* const* arguments)
{
    parsed_options result;
    try {
        constexpr int style = options::command_line_style::default_style &
                              ~options::command_line_style::allow_guessing;
        options::store(options::parse_command_line(count, arguments, all, style), result.values);
        const auto known = [&](const std::string& variable) { return option_name(variable, all); };
        options::store(options::parse_environment(all, known), result.values);
        if (result.values.count(file_option) > 0) {
            result.file = result.values[file_option].as<std::string>();
            read_file(result.file, all, result.values);
        }
    } catch (const options::error& fault) {
        throw user_error("settings", "", fault.what());
    }
    result.help = result.values.count("help") > 0;
    result.check_only = result.values.count("check") > 0;
    std::ostringstream text;
    text << all;
    result.help_text = text.str();
    return result;
}

} // namespace worksshift
