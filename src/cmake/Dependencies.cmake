# Every library comes from Debian's packages; scripts/install-packages.sh lists them.
find_package(Boost 1.81 REQUIRED COMPONENTS json)

if(WIGEONSILL_TESTS)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
  find_package(benchmark REQUIRED)
endif()
find_package(log4cplus REQUIRED)
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(CAPNP REQUIRED IMPORTED_TARGET capnp-rpc)
