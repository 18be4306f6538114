#include "control/replication.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::control;

// clang-format off
TEST_GROUP(Replication) {};
// clang-format on

TEST(Replication, DoesNotCountEntriesOfLostDataFolderForItsReplacement)
{
    schema::Membership membership;
    for (const auto* name : { "one", "two" }) {
        auto& member = *membership.add_members();
        member.set_name(name);
        member.set_disk_identity(10);
    }
    Replication replication("one", 10);
    replication.startTerm(7);
    replication.updateDiskIdentity("two", 10);
    replication.peer("two").matchIndex = 7;
    LONGS_EQUAL(7, replication.quorumIndex(membership, 2, 7));
    replication.updateDiskIdentity("two", 11);
    LONGS_EQUAL(0, replication.quorumIndex(membership, 2, 7));
    membership.mutable_members(1)->set_disk_identity(11);
    LONGS_EQUAL(0, replication.quorumIndex(membership, 2, 7));
}
