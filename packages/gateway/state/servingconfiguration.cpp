#include "gateway/state/servingconfiguration.h"

namespace sassafrasyard {

const RoutedAccount *ServingConfiguration::findByKeyDigest(std::string_view keyDigest) const
{
    const auto known = this->accountsByKeyDigest.find(keyDigest);
    return known == this->accountsByKeyDigest.end() ? nullptr : &this->accounts[known->second];
}

const Service *ServingConfiguration::findService(std::string_view name) const
{
    const auto known = this->services.find(name);
    return known == this->services.end() ? nullptr : &known->second;
}

} // namespace sassafrasyard
