#include <medlar/detail/operators/ctl/table.hpp>

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

namespace medlar
{

namespace
{

constexpr std::int64_t ms_per_second = 1000;
constexpr std::size_t column_gap = 2;
constexpr std::size_t max_cell_width = 80;
constexpr unsigned char first_printable_character = 0x20;
constexpr unsigned char delete_character = 0x7f;

} // namespace

table::table(std::vector<std::string> titles)
{
    rows_.push_back(std::move(titles));
}

void table::add(std::vector<std::string> cells)
{
    for (std::string& cell : cells)
    {
        cell = printable(cell);
        if (cell.size() > max_cell_width)
        {
            cell = cell.substr(0, max_cell_width) + "...";
        }
    }
    rows_.push_back(std::move(cells));
}

void table::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const std::vector<std::string>& row : rows_)
    {
        for (std::size_t at = 0; at < row.size(); ++at)
        {
            widths[at] = std::max(widths[at], row[at].size());
        }
    }
    for (const std::vector<std::string>& row : rows_)
    {
        std::string line;
        for (std::size_t at = 0; at < row.size(); ++at)
        {
            line += row[at];
            line.append(widths[at] - row[at].size() + column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

std::string time_text(std::int64_t since_1970_ms)
{
    const std::time_t seconds = since_1970_ms / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return std::string(text.data(), length);
}

std::string printable(const std::string& text)
{
    std::string cleaned = text;
    std::replace_if(
        cleaned.begin(),
        cleaned.end(),
        [](unsigned char character)
        {
            return character < first_printable_character || character == delete_character;
        },
        '?');
    return cleaned;
}

} // namespace medlar
