/// Resource files: a JSON object {"kind", "name", "version" (optional),
/// "spec"}, or an array of them.
///
/// \code
///   BOOST_LEAF_AUTO(manifests, readManifests({"examples/lankapura"}));
/// \endcode
#pragma once

#include "baobabpin/base/Errors.h"
#include "baobabpin/resources/Kinds.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabpin::ctl {

/// One resource of a file.
struct Manifest {
  resources::ResourceId Id;
  resources::Spec ResourceSpec;
  /// The stored version that the file is based on; 0 for a new resource.
  std::optional<std::uint64_t> Version;
  std::string Source; ///< The file.
};

/// Reads files, and the *.json files of directories, in name order. Returns the
/// resources in the order of their kinds. Fails with InvalidResource or
/// UnknownKind, naming file and field, for any of them, and for a resource that
/// is given twice.
base::Result<std::vector<Manifest>>
readManifests(const std::vector<std::string> &paths);

/// Reads the content of one file.
base::Result<std::vector<Manifest>> parseManifests(std::string_view text,
                                                   const std::string &source);

} // namespace baobabpin::ctl
