#include "Platform/completelines.h"

namespace eelgrasscove {

std::optional<std::vector<std::string>> completeLines(std::string &text, std::string_view part,
                                                      std::size_t mostLineBytes)
{
    std::vector<std::string> lines;
    for (std::size_t end = part.find('\n'); end != std::string_view::npos; end = part.find('\n')) {
        text += part.substr(0, end);
        lines.push_back(std::move(text));
        text.clear();
        part.remove_prefix(end + 1);
    }
    text += part;
    if (text.size() <= mostLineBytes)
        return lines;
    text = {};
    return std::nullopt;
}

} // namespace eelgrasscove
