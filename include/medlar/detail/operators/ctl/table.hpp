#ifndef MEDLAR_DETAIL_OPERATORS_CTL_TABLE_HPP
#define MEDLAR_DETAIL_OPERATORS_CTL_TABLE_HPP

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Text table whose columns are as wide as their longest cell.
///
/// Cells are made printable, and long ones are truncated.
class table
{
  public:
    explicit table(std::vector<std::string> titles);

    void add(std::vector<std::string> cells);

    void print(std::ostream& out) const;

  private:
    std::vector<std::vector<std::string>> rows_;
};

/// @brief Formats a wall time as UTC, such as "2026-01-31 23:59:59Z".
std::string time_text(std::int64_t since_1970_ms);

/// @brief Returns the text with control characters replaced by "?", for terminals.
std::string printable(const std::string& text);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CTL_TABLE_HPP
