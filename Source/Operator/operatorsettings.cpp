#include "Operator/operatorsettings.h"

#include "Vm/sharedsettings.h"

#include <array>

namespace eelgrasscove {

namespace {

using Row = SettingRow<OperatorSettings>;

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(' ');
    const std::size_t end = text.find_last_not_of(' ');
    return begin == std::string::npos ? "" : text.substr(begin, end - begin + 1);
}

ValueResult readUrls(const std::string &value, std::vector<std::string> &urls)
{
    std::size_t begin = 0;
    while (begin <= value.size()) {
        const std::size_t comma = std::min(value.find(',', begin), value.size());
        std::string url;
        ValueResult refused =
            readUrl(trimmed(value.substr(begin, comma - begin)), httpScheme, true, url);
        if (refused)
            return refused;
        urls.push_back(std::move(url));
        begin = comma + 1;
    }
    return std::nullopt;
}

ValueResult readText(const std::string &value, std::string &text)
{
    if (value.empty())
        return ValueFault{"the text is empty", "write a text, or remove the line"};
    text = value;
    return std::nullopt;
}

const std::array<Row, 3> operatorRows = {{
    {"operator", "status_urls",
     [](auto &value, auto &out) { return readUrls(value, out.statusUrls_); }},
    {"operator", "status_port",
     [](auto &value, auto &out) { return readNumber(value, 1, UINT16_MAX, out.statusPort_); }},
    {"operator", "who", [](auto &value, auto &out) { return readText(value, out.who_); }},
}};

std::vector<Row> allRows()
{
    std::vector<Row> rows;
    const auto add = [&rows](const auto &more) {
        rows.insert(rows.end(), more.begin(), more.end());
    };
    add(platformRows<OperatorSettings>());
    add(keyRows<OperatorSettings>(nullptr));
    add(operatorRows);
    return rows;
}

} // namespace

Result<OperatorSettings, std::vector<SettingsError>> parseOperatorSettings(const std::string &text,
                                                                           const std::string &file)
{
    OperatorSettings settings;
    std::vector<SettingsError> errors = readSettings(text, file, allRows(), settings);
    if (!errors.empty())
        return errors;
    return settings;
}

} // namespace eelgrasscove
