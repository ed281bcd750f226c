// Which configuration an instance has.

#pragma once

#include "arbutus/catalog/catalog.h"
#include "arbutus/metadata/metadatastore.h"

namespace arbutus::edge {

/// The configuration that an instance has: its version, and the latest generation in which the store had this content.
struct KnownCatalog
{
    catalog::CatalogVersion version;
    metadata::StoreGeneration generation;

    auto operator<=>(const KnownCatalog &) const = default;
};

} // namespace arbutus::edge
