#include "core/pool/entry/changes.h"

namespace dottereltrack::pool {
namespace {

struct Applier {
  EntryBoard* board;

  void operator()(const Put<JobRow>& it) const { board->jobs.Put(it.row); }
  void operator()(const Erase<JobRow>& it) const { board->jobs.Erase(it.key); }
  void operator()(const Put<TaskRow>& it) const { board->tasks.Put(it.row); }
  void operator()(const Erase<TaskRow>& it) const {
    board->tasks.Erase(it.key);
  }
  void operator()(const Put<AgentRow>& it) const { board->agents.Put(it.row); }
  void operator()(const Erase<AgentRow>& it) const {
    board->agents.Erase(it.key);
  }
  void operator()(const Put<LinkRow>& it) const { board->links.Put(it.row); }
  void operator()(const Erase<LinkRow>& it) const {
    board->links.Erase(it.key);
  }
  void operator()(const Put<PeerRow>& it) const { board->peers.Put(it.row); }
  void operator()(const Erase<PeerRow>& it) const {
    board->peers.Erase(it.key);
  }
  void operator()(const SetConfig& it) const {
    board->config = it.config;
    board->config_text = it.text;
  }
  void operator()(const SetStopping& it) const {
    board->stopping = true;
    board->stopping_since = it.since;
  }
};

}  // namespace

void Apply(EntryBoard* board, const EntryChanges& changes) {
  for (const EntryRowChange& change : changes.rows) {
    std::visit(Applier{board}, change);
  }
}

}  // namespace dottereltrack::pool
