#pragma once

#include <string>
#include <vector>

namespace sassafrasyard {

/** Lays rows out in aligned columns; the first row is the heading. */
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

} // namespace sassafrasyard
