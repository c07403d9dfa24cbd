#ifndef MEDLAR_DETAIL_OPERATORS_CTL_TABLE_HPP
#define MEDLAR_DETAIL_OPERATORS_CTL_TABLE_HPP

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Rows of text in columns as wide as their longest cell.
class table
{
  public:
    explicit table(std::vector<std::string> titles);

    void add(std::vector<std::string> cells);

    void print(std::ostream& out) const;

  private:
    std::vector<std::vector<std::string>> rows_;
};

/// @brief a wall time as "2026-01-31 23:59:59Z"
std::string time_text(std::int64_t since_1970_ms);

/// @brief the text with control characters replaced, for terminals
std::string printable(const std::string& text);

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_CTL_TABLE_HPP
