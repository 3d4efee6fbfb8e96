// Package agsearch finds the holders of flows that a balancer has not cached, by
// querying the agents.
//
// Every agent whose host may hold a flow has to be queried, so queries are
// batched: the flows that are searched for at the same time form a round, and one
// query names all flows of its round. The number of unanswered queries is limited.
// A balancer that starts after a complete outage receives packets of thousands of
// unknown flows in a second, and the replies must not overflow its socket buffer
// or a slow link. A query whose reply is lost is repeated. A flow has no holder
// once every agent whose host may hold it has replied that the host does not.
//
// A Searcher takes the time as a parameter, has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	searcher := agsearch.NewSearcher()
//	searcher.Begin(flow, acknowledged, now)
//	for _, query := range searcher.DueQueries(agents, now) {
//		// send it
//	}
//	findings := searcher.HandleReply(agent, round, states, now)
//	unheld := searcher.RemoveUnheld(agents)
//	expired := searcher.Expire(now)
package agsearch

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
)

const (
	// MaxFlowsPerQuery is the maximum number of flows of a query, so that it fits
	// into a datagram.
	MaxFlowsPerQuery = 90
	// maxPendingQueries is the maximum number of unanswered queries. Their replies
	// fit into the socket buffer if they all arrive at the same time.
	maxPendingQueries = 48
	// roundInterval is the minimum time between the starts of two rounds that are
	// not full.
	roundInterval = 20 * time.Millisecond
	// replyTimeout is the time after which a query or its reply counts as lost.
	replyTimeout = 100 * time.Millisecond
	// searchTimeout is the time after which a search ends without a result.
	// Agents that have stopped count as lost earlier. The caller's next packet
	// starts another search.
	searchTimeout = 3 * time.Second
)

// Query is a query to one agent for the flows of a round that its host holds.
type Query struct {
	Round uint32
	To    anvilglade.IPv4
	Flows []agmessage.SearchedFlow
}

// Finding is a flow that an agent's host holds or, if the state is FlowUnknown, may
// hold.
type Finding struct {
	Flow  anvilglade.Flow
	State agmessage.FlowState
}

// inquiry is the state of a round's query to one agent.
type inquiry struct {
	sentAt   time.Time
	pending  bool
	answered bool
}

// round is a set of flows that share the queries to all agents.
type round struct {
	number  uint32
	started time.Time
	flows   []agmessage.SearchedFlow
	agents  map[anvilglade.IPv4]*inquiry
	// remaining is the number of flows whose search has not ended.
	remaining int
}

// search is the search for the holder of one flow.
type search struct {
	// round is nil until the flow is assigned to a round.
	round   *round
	started time.Time
	// unknownSince lists the agents that replied FlowUnknown, whose hosts have to be
	// probed with a packet, with the time of the reply.
	unknownSince map[anvilglade.IPv4]time.Time
}

// Searcher runs the searches of one balancer.
type Searcher struct {
	searches map[anvilglade.Flow]*search
	// queued lists the flows that are not assigned to a round yet.
	queued []agmessage.SearchedFlow
	rounds []*round
	// lastRound is the number of the latest round.
	lastRound uint32
	// pendingQueries is the number of unanswered queries.
	pendingQueries int
}

// NewSearcher returns a Searcher without searches.
func NewSearcher() *Searcher {
	return &Searcher{searches: make(map[anvilglade.Flow]*search)}
}

// Idle reports whether there are no searches.
func (s *Searcher) Idle() bool {
	return len(s.searches) == 0
}

// Searching reports whether a flow is searched for.
func (s *Searcher) Searching(flow anvilglade.Flow) bool {
	return s.searches[flow] != nil
}

// Begin starts a search for a flow unless one is in progress. Acknowledged is the
// acknowledgement number of the caller's packet, 0 if unknown.
func (s *Searcher) Begin(flow anvilglade.Flow, acknowledged uint32, now time.Time) {
	if s.Searching(flow) {
		return
	}
	s.searches[flow] = &search{started: now}
	s.queued = append(s.queued, agmessage.SearchedFlow{Flow: flow, Acknowledged: acknowledged})
}

// End ends the search for a flow, because its holder has been found or the flow is
// removed.
func (s *Searcher) End(flow anvilglade.Flow) {
	found := s.searches[flow]
	if found == nil {
		return
	}
	delete(s.searches, flow)
	if found.round == nil {
		s.queued = slices.DeleteFunc(s.queued, func(other agmessage.SearchedFlow) bool { return other.Flow == flow })
		return
	}
	if found.round.remaining--; found.round.remaining == 0 {
		s.endRound(found.round)
	}
}

func (s *Searcher) endRound(ended *round) {
	for _, inquiry := range ended.agents {
		s.clearPending(inquiry)
	}
	s.rounds = slices.DeleteFunc(s.rounds, func(other *round) bool { return other == ended })
}

// clearPending stops counting a query as unanswered.
func (s *Searcher) clearPending(inquiry *inquiry) {
	if inquiry.pending {
		inquiry.pending = false
		s.pendingQueries--
	}
}

// DueQueries returns the queries to send now, given the agents whose hosts may hold
// flows.
func (s *Searcher) DueQueries(agents []anvilglade.IPv4, now time.Time) []Query {
	if s.Idle() {
		return nil
	}
	s.startRounds(now)
	var queries []Query
	for _, round := range s.rounds {
		for _, agent := range agents {
			if s.pendingQueries >= maxPendingQueries {
				return queries
			}
			if !s.recordQuery(round, agent, now) {
				continue
			}
			queries = append(queries, Query{Round: round.number, To: agent, Flows: round.flows})
		}
	}
	return queries
}

// startRounds assigns the queued flows to new rounds.
func (s *Searcher) startRounds(now time.Time) {
	for len(s.queued) > 0 {
		if len(s.queued) < MaxFlowsPerQuery && len(s.rounds) > 0 && now.Sub(s.rounds[len(s.rounds)-1].started) < roundInterval {
			return
		}
		count := min(len(s.queued), MaxFlowsPerQuery)
		s.lastRound++
		started := &round{
			number: s.lastRound, started: now, remaining: count,
			flows:  slices.Clone(s.queued[:count]),
			agents: make(map[anvilglade.IPv4]*inquiry),
		}
		for _, searched := range started.flows {
			s.searches[searched.Flow].round = started
		}
		s.queued = slices.Delete(s.queued, 0, count)
		s.rounds = append(s.rounds, started)
	}
}

// expireQueries stops counting queries whose reply is overdue as unanswered, so that
// new queries can be sent. It also marks an agent to be queried again if its host has
// not answered the probe packet of a flow within replyTimeout.
func (s *Searcher) expireQueries(round *round, now time.Time) {
	for _, inquiry := range round.agents {
		if inquiry.pending && now.Sub(inquiry.sentAt) >= replyTimeout {
			s.clearPending(inquiry)
		}
	}
	for i := range round.flows {
		searched := s.searchIn(round, round.flows[i].Flow)
		if searched == nil {
			continue
		}
		for agent, since := range searched.unknownSince {
			if now.Sub(since) >= replyTimeout {
				round.agents[agent].answered = false
			}
		}
	}
}

// searchIn returns the search for a flow if it belongs to the round, or nil.
func (s *Searcher) searchIn(round *round, flow anvilglade.Flow) *search {
	if found := s.searches[flow]; found != nil && found.round == round {
		return found
	}
	return nil
}

// recordQuery records a query of a round to an agent. It returns false if the agent
// has replied or its reply is pending, so that no query is needed.
func (s *Searcher) recordQuery(round *round, agent anvilglade.IPv4, now time.Time) bool {
	entry := round.agents[agent]
	if entry == nil {
		entry = &inquiry{}
		round.agents[agent] = entry
	}
	if entry.answered || entry.pending {
		return false
	}
	entry.sentAt, entry.pending = now, true
	s.pendingQueries++
	return true
}

// HandleReply handles an agent's reply, the states of all flows of a round in their
// order. It returns the flows that the agent's host holds or may hold.
func (s *Searcher) HandleReply(agent anvilglade.IPv4, number uint32, states []agmessage.FlowState, now time.Time) []Finding {
	answered := s.roundByNumber(number)
	if answered == nil || answered.agents[agent] == nil || len(states) != len(answered.flows) {
		// The round has ended, or the query was sent before this process started.
		return nil
	}
	entry := answered.agents[agent]
	s.clearPending(entry)
	entry.answered = true
	var findings []Finding
	for i := range answered.flows {
		flow := answered.flows[i].Flow
		searched := s.searchIn(answered, flow)
		if searched == nil {
			continue
		}
		delete(searched.unknownSince, agent)
		if states[i] == agmessage.FlowAbsent {
			continue
		}
		if states[i] == agmessage.FlowUnknown {
			searched.setUnknown(agent, now)
		}
		findings = append(findings, Finding{Flow: flow, State: states[i]})
	}
	return findings
}

func (s *search) setUnknown(agent anvilglade.IPv4, now time.Time) {
	if s.unknownSince == nil {
		s.unknownSince = make(map[anvilglade.IPv4]time.Time)
	}
	s.unknownSince[agent] = now
}

func (s *Searcher) roundByNumber(number uint32) *round {
	for _, round := range s.rounds {
		if round.number == number {
			return round
		}
	}
	return nil
}

// HandleFlowAbsent handles the message of an agent that replied FlowUnknown before:
// its host does not hold the flow.
func (s *Searcher) HandleFlowAbsent(agent anvilglade.IPv4, flow anvilglade.Flow) {
	if found := s.searches[flow]; found != nil {
		delete(found.unknownSince, agent)
	}
}

// RemoveUnheld returns the flows that no agent's host holds, and ends their
// searches. Agents must list every agent whose host may hold flows.
func (s *Searcher) RemoveUnheld(agents []anvilglade.IPv4) []anvilglade.Flow {
	var unheld []anvilglade.Flow
	for _, round := range slices.Clone(s.rounds) {
		if !round.allAnswered(agents) {
			continue
		}
		for i := range round.flows {
			flow := round.flows[i].Flow
			if searched := s.searchIn(round, flow); searched != nil && !searched.anyUnknown(agents) {
				unheld = append(unheld, flow)
				s.End(flow)
			}
		}
	}
	return unheld
}

// anyUnknown reports whether one of the agents has replied FlowUnknown and its host has
// not returned the probe packet yet.
func (s *search) anyUnknown(agents []anvilglade.IPv4) bool {
	if len(s.unknownSince) == 0 {
		return false
	}
	return slices.ContainsFunc(agents, func(agent anvilglade.IPv4) bool { return !s.unknownSince[agent].IsZero() })
}

// allAnswered reports whether each of the agents has replied.
func (r *round) allAnswered(agents []anvilglade.IPv4) bool {
	for _, agent := range agents {
		if entry := r.agents[agent]; entry == nil || !entry.answered {
			return false
		}
	}
	return true
}

// Expire expires unanswered queries after replyTimeout and ends searches after
// searchTimeout, whose flows it returns. It must be called several times within
// replyTimeout.
func (s *Searcher) Expire(now time.Time) []anvilglade.Flow {
	for _, round := range s.rounds {
		s.expireQueries(round, now)
	}
	var expired []anvilglade.Flow
	for flow, searched := range s.searches {
		if now.Sub(searched.started) > searchTimeout {
			expired = append(expired, flow)
			s.End(flow)
		}
	}
	return expired
}
