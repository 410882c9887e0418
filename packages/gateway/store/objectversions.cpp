#include "gateway/store/objectversions.h"

#include <algorithm>
#include <set>

namespace sassafrasyard {

void ObjectVersions::assign(std::span<const RegisteredObject> objects)
{
    this->present.clear();
    this->removed.clear();
    for (const RegisteredObject &object : objects)
        this->present[object.name] = object.revision;
}

void ObjectVersions::apply(std::span<const ObjectChange> changes)
{
    for (const ObjectChange &change : changes) {
        const RegisteredObject &object = change.object;
        auto &target = change.isRemoved ? this->removed : this->present;
        target[object.name] = object.revision;
        if (change.isRemoved)
            this->present.erase(object.name);
        else
            this->removed.erase(object.name);
    }
}

bool ObjectVersions::agreesWith(const ObjectPage &list)
{
    std::set<std::string> listed;
    for (const RegisteredObject &object : list.objects) {
        if (!this->isKnown(object))
            return false;
        listed.insert(object.name);
    }
    const bool hasAll =
            std::all_of(this->present.begin(), this->present.end(), [&](const auto &known) {
                return known.second > list.revision || listed.contains(known.first);
            });
    if (hasAll)
        std::erase_if(this->removed,
                      [&](const auto &known) { return known.second <= list.revision; });
    return hasAll;
}

bool ObjectVersions::isKnown(const RegisteredObject &object) const
{
    const auto known = this->present.find(object.name);
    if (known != this->present.end())
        return object.revision <= known->second;
    const auto removal = this->removed.find(object.name);
    return removal != this->removed.end() && object.revision <= removal->second;
}

} // namespace sassafrasyard
