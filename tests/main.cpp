// Catch2 provides the main function of each test program that links this file.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
