#pragma once

#include <string>
#include <vector>

namespace sassafrasyard {

/** Formats rows as left-aligned columns; the first row is the heading. */
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

} // namespace sassafrasyard
