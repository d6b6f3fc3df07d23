// `tideline check`: prints every error in an operator file, each with its line.
#pragma once

#include <string>

namespace tideline::cli {

// Returns the exit status: 0 if the file is valid, 1 if it has errors, 2 if it can't be read.
int check_operator_file(const std::string& path);

}  // namespace tideline::cli
