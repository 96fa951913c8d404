#include "Operator/report.h"

#include "Observe/log.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

std::string textOf(const FieldValue &value)
{
    if (const auto *text = std::get_if<std::string>(&value))
        return text->empty() ? "-" : *text;
    if (const auto *number = std::get_if<std::int64_t>(&value))
        return std::to_string(*number);
    return std::get<bool>(value) ? "yes" : "no";
}

std::string jsonText(const std::string &text)
{
    return "\"" + escapeJson(text) + "\"";
}

std::string jsonValue(const FieldValue &value)
{
    if (const auto *text = std::get_if<std::string>(&value))
        return jsonText(*text);
    if (const auto *number = std::get_if<std::int64_t>(&value))
        return std::to_string(*number);
    return std::get<bool>(value) ? "true" : "false";
}

std::string jsonRow(const ReportRow &row)
{
    std::string json;
    for (const ReportField &field : row.fields_) {
        json += json.empty() ? "{" : ",";
        json += jsonText(field.name_) + ":" + jsonValue(field.value_);
    }
    return json.empty() ? "{}" : json + "}";
}

std::string jsonRows(const std::vector<ReportRow> &rows)
{
    std::string json;
    for (const ReportRow &row : rows)
        json += (json.empty() ? "" : ",") + jsonRow(row);
    return "[" + json + "]";
}

std::string padded(const std::string &text, std::size_t width, bool isLast)
{
    return isLast ? text : fmt::format("{:<{}}  ", text, width);
}

} // namespace

Report failedReport(ExitCode code, std::string error)
{
    Report report;
    report.code_ = code;
    report.error_ = std::move(error);
    if (!report.error_.empty() && report.error_.back() != '\n')
        report.error_ += '\n';
    return report;
}

std::string tableOf(const std::vector<ReportRow> &rows)
{
    if (rows.empty())
        return "";
    const std::size_t columns = rows.front().fields_.size();
    std::vector<std::size_t> widths(columns, 0);
    for (std::size_t column = 0; column < columns; ++column) {
        widths[column] = rows.front().fields_[column].name_.size();
        for (const ReportRow &row : rows)
            widths[column] = std::max(widths[column], textOf(row.fields_[column].value_).size());
    }
    std::string table;
    for (std::size_t column = 0; column < columns; ++column) {
        const std::string &name = rows.front().fields_[column].name_;
        table += padded(name, widths[column], column + 1 == columns);
    }
    table += '\n';
    for (const ReportRow &row : rows) {
        for (std::size_t column = 0; column < columns; ++column) {
            const std::string text = textOf(row.fields_[column].value_);
            table += padded(text, widths[column], column + 1 == columns);
        }
        table += '\n';
    }
    return table;
}

std::string tablesOf(const Report &report)
{
    std::string text = tableOf(report.rows_);
    for (const ReportTable &table : report.more_) {
        if (!table.rows_.empty())
            text += "\n" + table.name_ + "\n" + tableOf(table.rows_);
    }
    return text;
}

std::string jsonOf(const Report &report)
{
    std::string more;
    for (const ReportTable &table : report.more_)
        more += "," + jsonText(table.name_) + ":" + jsonRows(table.rows_);
    const std::string &message =
        report.error_.empty() && !report.textOnly_ ? report.text_ : report.error_;
    return fmt::format(R"({{"result":"{}","exit_code":{},"message":{},"rows":{}{}}})",
                       nameOf(exitCodeNames, report.code_), static_cast<int>(report.code_),
                       jsonText(message), jsonRows(report.rows_), more)
        + "\n";
}

} // namespace eelgrasscove
