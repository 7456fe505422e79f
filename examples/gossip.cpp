// Nine instances discover each other by gossip; one is killed, and the others detect it.
#include "foxtailwheel/bench/GossipGroup.h"

#include <iostream>

using namespace foxtailwheel;
using namespace std::chrono_literals;

int main()
{
    bench::GossipGroup group(9, 0.01, 1);
    group.run(5s);
    std::cout << "members seen by the first: " << group.at(0).activeMembers().size() << "\n";
    group.kill(4);
    group.run(15s);
    std::cout << "after one died: " << group.at(0).activeMembers().size() << "\n";
    return group.hasConverged() ? 0 : 1;
}
