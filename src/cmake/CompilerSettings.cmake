# Language level, warnings, the sanitizer option and the compiler cache.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

option(WIGEONSILL_TESTS "Build the tests, which need GoogleTest, RapidCheck and Google Benchmark" ON)
option(WIGEONSILL_SANITIZE "Build with the address and undefined-behaviour sanitizers" OFF)
option(WIGEONSILL_LIBFUZZER "Link the fuzz targets with libFuzzer, which needs clang" OFF)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

add_library(wigeonsill_options INTERFACE)
target_compile_options(wigeonsill_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
if(WIGEONSILL_SANITIZE)
  target_compile_options(wigeonsill_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all)
  target_link_options(wigeonsill_options INTERFACE -fsanitize=address,undefined)
endif()
if(WIGEONSILL_LIBFUZZER)
  target_compile_options(wigeonsill_options INTERFACE -fsanitize=fuzzer-no-link)
endif()
