# Installs the decision library for find_package(dottereltrack).
include(CMakePackageConfigHelpers)

install(TARGETS dottereltrack_core EXPORT dottereltrackTargets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(FILES include/dottereltrack/core.h
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/dottereltrack)
# The public header includes these by the path "core/...".
install(DIRECTORY src/core
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/dottereltrack/internal
        FILES_MATCHING PATTERN "*.h")
install(EXPORT dottereltrackTargets NAMESPACE dottereltrack::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dottereltrack)
configure_package_config_file(
  cmake/dottereltrackConfig.cmake.in
  ${PROJECT_BINARY_DIR}/dottereltrackConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dottereltrack)
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/dottereltrackConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/dottereltrackConfig.cmake
              ${PROJECT_BINARY_DIR}/dottereltrackConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/dottereltrack)
