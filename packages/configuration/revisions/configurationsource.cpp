#include "configuration/revisions/configurationsource.h"

namespace sassafrasyard {

std::optional<Configuration> resolveSource(std::shared_ptr<const ConfigurationSource> source,
                                           std::vector<ConfigurationFault> &faults)
{
    auto configuration = resolveConfiguration(source->documents, source->revision, faults);
    if (configuration)
        configuration->source = std::move(source);
    return configuration;
}

std::shared_ptr<const ConfigurationSource> configurationSource(const Configuration &configuration)
{
    static const auto empty = std::make_shared<const ConfigurationSource>();
    return configuration.source ? configuration.source : empty;
}

} // namespace sassafrasyard
