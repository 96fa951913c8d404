#pragma once

/// Fills a settings struct from INI entries by a table of rows, and collects all faults.

#include "Vm/inifile.h"
#include "Vm/settings.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// One setting: where it stands and how its value is read into Target.
template <class Target>
struct SettingRow
{
    std::string_view section_;
    std::string_view key_;
    ValueResult (*read_)(const std::string &value, Target &settings);
    /// Whether the setting must be there, given what has been read; null where it never must.
    bool (*required_)(const Target &settings) = nullptr;
};

namespace settingstable {

template <class Rows>
const typename Rows::value_type *findRow(const Rows &rows, const IniEntry &entry)
{
    for (const auto &row : rows) {
        if (row.section_ == entry.section_ && row.key_ == entry.key_)
            return &row;
    }
    return nullptr;
}

/// Names of the keys of one section, or of all sections where that one doesn't exist.
template <class Rows>
SettingsError unknownSetting(const Rows &rows, const IniEntry &entry)
{
    std::vector<std::string> sections;
    std::string keys;
    for (const auto &row : rows) {
        const std::string section = "[" + std::string(row.section_) + "]";
        if (std::find(sections.begin(), sections.end(), section) == sections.end())
            sections.push_back(section);
        if (row.section_ == entry.section_)
            keys += (keys.empty() ? "" : ", ") + std::string(row.key_);
    }
    SettingsError error;
    error.line_ = entry.line_;
    if (!keys.empty()) {
        error.message_ = "[" + entry.section_ + "] has no setting \"" + entry.key_ + "\"";
        error.remedy_ = "use one of " + keys;
        return error;
    }
    std::string names;
    for (const std::string &section : sections)
        names += (names.empty() ? "" : ", ") + section;
    error.message_ = entry.section_.empty()
        ? "\"" + entry.key_ + "\" stands before any section"
        : "there is no section [" + entry.section_ + "] (for \"" + entry.key_ + "\")";
    error.remedy_ = "use one of " + names;
    return error;
}

} // namespace settingstable

/// Reads the text into settings by the rows; returns all faults, in the order of their lines.
template <class Target, class Rows>
std::vector<SettingsError> readSettings(const std::string &text, const std::string &file,
                                        const Rows &rows, Target &settings)
{
    std::vector<SettingsError> errors;
    const IniFile ini = parseIni(text);
    for (const IniFault &fault : ini.faults_)
        errors.push_back({file, fault.line_, fault.message_, "write key = value, or a ; comment"});
    std::map<const void *, std::uint32_t> lineOfRow;
    for (const IniEntry &entry : ini.entries_) {
        const auto *row = settingstable::findRow(rows, entry);
        if (row == nullptr) {
            SettingsError error = settingstable::unknownSetting(rows, entry);
            error.file_ = file;
            errors.push_back(std::move(error));
            continue;
        }
        const std::string label = "[" + entry.section_ + "] " + entry.key_ + ": ";
        const auto [first, isFirst] = lineOfRow.emplace(row, entry.line_);
        if (!isFirst) {
            errors.push_back({file, entry.line_,
                              label + "set already in line " + std::to_string(first->second),
                              "keep one of the two lines"});
            continue;
        }
        const ValueResult refused = row->read_(entry.value_, settings);
        if (refused)
            errors.push_back({file, entry.line_, label + refused->message_, refused->remedy_});
    }
    std::stable_sort(errors.begin(), errors.end(),
                     [](const auto &left, const auto &right) { return left.line_ < right.line_; });
    for (const auto &row : rows) {
        if (row.required_ == nullptr || !row.required_(settings) || lineOfRow.contains(&row))
            continue;
        const std::string section = "[" + std::string(row.section_) + "]";
        errors.push_back({file, 0, section + " " + std::string(row.key_) + " is missing",
                          "add it under " + section});
    }
    return errors;
}

} // namespace eelgrasscove
