# Certificates for tests: those of the authority that the tests trust, and of
# another. Packages refer to them whatever the order of their folders.
set(BAOBABPIN_TEST_CERTIFICATES ${CMAKE_BINARY_DIR}/certificates)
add_custom_command(
  OUTPUT ${BAOBABPIN_TEST_CERTIFICATES}/ours/viewer.pem
         ${BAOBABPIN_TEST_CERTIFICATES}/foreign/viewer.pem
  COMMAND ${PROJECT_SOURCE_DIR}/scripts/certificates
          ${BAOBABPIN_TEST_CERTIFICATES}/ours
  COMMAND ${PROJECT_SOURCE_DIR}/scripts/certificates
          ${BAOBABPIN_TEST_CERTIFICATES}/foreign
  DEPENDS ${PROJECT_SOURCE_DIR}/scripts/certificates)
add_custom_target(baobabpin_test_certificates
  DEPENDS ${BAOBABPIN_TEST_CERTIFICATES}/ours/viewer.pem
          ${BAOBABPIN_TEST_CERTIFICATES}/foreign/viewer.pem)

# Lets a test program read them through BAOBABPIN_TEST_CERTIFICATES.
function(baobabpin_use_test_certificates target)
  add_dependencies(${target} baobabpin_test_certificates)
  target_compile_definitions(${target} PRIVATE
    BAOBABPIN_TEST_CERTIFICATES="${BAOBABPIN_TEST_CERTIFICATES}")
endfunction()
