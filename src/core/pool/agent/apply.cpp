#include "core/pool/agent/changes.h"

namespace dottereltrack::pool {
namespace {

struct Applier {
  AgentBoard* board;

  void operator()(const Put<RunRow>& it) const { board->runs.Put(it.row); }
  void operator()(const Erase<RunRow>& it) const { board->runs.Erase(it.key); }
  void operator()(const Put<MinionCrash>& it) const {
    board->crashes.Put(it.row);
  }
  void operator()(const Erase<MinionCrash>& it) const {
    board->crashes.Erase(it.key);
  }
  void operator()(const Put<EntryLinkRow>& it) const {
    board->links.Put(it.row);
  }
  void operator()(const Erase<EntryLinkRow>& it) const {
    board->links.Erase(it.key);
  }
  void operator()(const Put<KnownEntry>& it) const {
    board->entries.Put(it.row);
  }
  void operator()(const Erase<KnownEntry>& it) const {
    board->entries.Erase(it.key);
  }
  void operator()(const Put<ConfigSource>& it) const {
    board->config_sources.Put(it.row);
  }
  void operator()(const Erase<ConfigSource>& it) const {
    board->config_sources.Erase(it.key);
  }
  void operator()(const SetKeptConfig& it) const {
    board->kept_config = it.kept;
  }
  void operator()(const SetMinion& it) const {
    board->minion = it.minion;
    board->minion_has_left = it.has_left;
  }
  void operator()(const SetSuccessor& it) const {
    board->successor = it.successor;
  }
  void operator()(const SetClock& it) const { board->clock = it.clock; }
  void operator()(const SetPollState& it) const { board->poll = it.poll; }
  void operator()(const SetHealth& it) const { board->health = it.health; }
  void operator()(const SetFencingToken& it) const {
    board->fencing_token = it.token;
  }
  void operator()(const SetAgentEvacuations& it) const {
    board->evacuations = it.evacuations;
  }
  void operator()(const SetAgentStopping& it) const {
    board->stopping = true;
    board->stopping_since = it.since;
  }
};

}  // namespace

std::vector<AgentEffect> Apply(AgentBoard* board, AgentChanges changes) {
  return std::move(changes).ApplyTo([&](const AgentRowChange& change) {
    std::visit(Applier{board}, change);
  });
}

}  // namespace dottereltrack::pool
