// Package agsearch finds the hosts that hold flows which a balancer does not
// know, by asking the agents.
//
// Every agent that may hold a flow has to be asked, so questions are gathered:
// the flows that are searched for at the same time share a round, and one
// question of a round names all of its flows. A window bounds the questions
// without an answer; a balancer that starts after an outage of everything gets
// packets of thousands of unknown flows in a second, and the answers must not
// overrun its socket or a thin link. A question whose answer is lost is asked
// again. A flow is held nowhere once every agent that may hold it has said so.
//
// A Searcher takes the time as a parameter, has no sockets and is not safe for
// concurrent use.
//
// # Usage
//
//	searcher := agsearch.NewSearcher()
//	searcher.Begin(flow, now)
//	for _, question := range searcher.Questions(agents, now) {
//		// send it
//	}
//	findings := searcher.Answer(agent, round, states, now)
//	nowhere := searcher.Conclude(agents)
//	expired := searcher.Tick(now)
package agsearch

import (
	"slices"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/packet/agmessage"
)

const (
	// MaxFlows bounds the flows of a question, so that it fits into a datagram.
	MaxFlows = 90
	// window bounds the questions that wait for an answer. Their answers fit
	// into the socket's buffer when they arrive together.
	window = 48
	// roundInterval is the least time between the starts of two rounds that are
	// not full.
	roundInterval = 20 * time.Millisecond
	// answerTimeout is the time after which a question counts as lost.
	answerTimeout = 100 * time.Millisecond
	// giveUpAfter is the time after which a search ends without a result.
	// Agents that have gone count as lost before; the caller's next packet
	// begins another search.
	giveUpAfter = 3 * time.Second
)

// Question asks one agent for the flows of a round.
type Question struct {
	Round uint32
	To    anvilglade.IPv4
	Flows []anvilglade.Flow
}

// Finding is a flow that an agent does not deny to hold.
type Finding struct {
	Flow  anvilglade.Flow
	State agmessage.FlowState
}

// inquiry is the standing of one agent in a round.
type inquiry struct {
	asked    time.Time
	waiting  bool
	answered bool
}

// round is a set of flows for which all agents are asked together.
type round struct {
	number  uint32
	started time.Time
	flows   []anvilglade.Flow
	agents  map[anvilglade.IPv4]*inquiry
	// left counts the flows whose search has not ended.
	left int
}

// search is the search for the holder of one flow.
type search struct {
	// round is nil until the flow has one.
	round *round
	begun time.Time
	// unsure are the agents whose host has to be asked with a packet, and when
	// they said so.
	unsure map[anvilglade.IPv4]time.Time
}

// Searcher keeps the searches of one balancer.
type Searcher struct {
	searches map[anvilglade.Flow]*search
	waiting  []anvilglade.Flow
	rounds   []*round
	numbers  uint32
	// unanswered counts the questions that wait for an answer.
	unanswered int
}

// NewSearcher returns a Searcher without searches.
func NewSearcher() *Searcher {
	return &Searcher{searches: make(map[anvilglade.Flow]*search)}
}

// Idle reports whether nothing is searched for.
func (s *Searcher) Idle() bool {
	return len(s.searches) == 0
}

// Searching reports whether a flow is searched for.
func (s *Searcher) Searching(flow anvilglade.Flow) bool {
	return s.searches[flow] != nil
}

// Begin starts the search for a flow unless it goes on already.
func (s *Searcher) Begin(flow anvilglade.Flow, now time.Time) {
	if s.Searching(flow) {
		return
	}
	s.searches[flow] = &search{begun: now}
	s.waiting = append(s.waiting, flow)
}

// End ends the search for a flow whose holder has been found or that is
// forgotten.
func (s *Searcher) End(flow anvilglade.Flow) {
	found := s.searches[flow]
	if found == nil {
		return
	}
	delete(s.searches, flow)
	if found.round == nil {
		s.waiting = slices.DeleteFunc(s.waiting, func(other anvilglade.Flow) bool { return other == flow })
		return
	}
	if found.round.left--; found.round.left == 0 {
		s.endRound(found.round)
	}
}

func (s *Searcher) endRound(ended *round) {
	for _, inquiry := range ended.agents {
		s.settle(inquiry)
	}
	s.rounds = slices.DeleteFunc(s.rounds, func(other *round) bool { return other == ended })
}

// settle ends the wait for an answer.
func (s *Searcher) settle(inquiry *inquiry) {
	if inquiry.waiting {
		inquiry.waiting = false
		s.unanswered--
	}
}

// Questions returns the questions that may be sent now, given the agents whose
// hosts may hold flows.
func (s *Searcher) Questions(agents []anvilglade.IPv4, now time.Time) []Question {
	if s.Idle() {
		return nil
	}
	s.startRounds(now)
	var questions []Question
	for _, round := range s.rounds {
		for _, agent := range agents {
			if s.unanswered >= window {
				return questions
			}
			if !s.ask(round, agent, now) {
				continue
			}
			questions = append(questions, Question{Round: round.number, To: agent, Flows: round.flows})
		}
	}
	return questions
}

// startRounds gives the waiting flows their rounds.
func (s *Searcher) startRounds(now time.Time) {
	for len(s.waiting) > 0 {
		if len(s.waiting) < MaxFlows && len(s.rounds) > 0 && now.Sub(s.rounds[len(s.rounds)-1].started) < roundInterval {
			return
		}
		count := min(len(s.waiting), MaxFlows)
		s.numbers++
		started := &round{
			number: s.numbers, started: now, left: count,
			flows:  slices.Clone(s.waiting[:count]),
			agents: make(map[anvilglade.IPv4]*inquiry),
		}
		for _, flow := range started.flows {
			s.searches[flow].round = started
		}
		s.waiting = slices.Delete(s.waiting, 0, count)
		s.rounds = append(s.rounds, started)
	}
}

// expireQuestions makes room for new questions if answers are lost, and asks
// agents again whose host has not answered the packet of a flow.
func (s *Searcher) expireQuestions(round *round, now time.Time) {
	for _, inquiry := range round.agents {
		if inquiry.waiting && now.Sub(inquiry.asked) >= answerTimeout {
			s.settle(inquiry)
		}
	}
	for _, flow := range round.flows {
		searched := s.searchIn(round, flow)
		if searched == nil {
			continue
		}
		for agent, since := range searched.unsure {
			if now.Sub(since) >= answerTimeout {
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

// ask notes a question of a round to an agent, or reports that none is needed
// now.
func (s *Searcher) ask(round *round, agent anvilglade.IPv4, now time.Time) bool {
	standing := round.agents[agent]
	if standing == nil {
		standing = &inquiry{}
		round.agents[agent] = standing
	}
	if standing.answered || standing.waiting {
		return false
	}
	standing.asked, standing.waiting = now, true
	s.unanswered++
	return true
}

// Answer takes what an agent says of the flows of a round, in their order, and
// returns those that it holds or may hold.
func (s *Searcher) Answer(agent anvilglade.IPv4, number uint32, states []agmessage.FlowState, now time.Time) []Finding {
	answered := s.roundOf(number)
	if answered == nil || answered.agents[agent] == nil || len(states) != len(answered.flows) {
		// The round has ended, or the answer is not to a question of this boot.
		return nil
	}
	standing := answered.agents[agent]
	s.settle(standing)
	standing.answered = true
	var findings []Finding
	for i, flow := range answered.flows {
		searched := s.searchIn(answered, flow)
		if searched == nil {
			continue
		}
		delete(searched.unsure, agent)
		if states[i] == agmessage.FlowAbsent {
			continue
		}
		if states[i] == agmessage.FlowUnknown {
			searched.noteUnsure(agent, now)
		}
		findings = append(findings, Finding{Flow: flow, State: states[i]})
	}
	return findings
}

func (s *search) noteUnsure(agent anvilglade.IPv4, now time.Time) {
	if s.unsure == nil {
		s.unsure = make(map[anvilglade.IPv4]time.Time)
	}
	s.unsure[agent] = now
}

func (s *Searcher) roundOf(number uint32) *round {
	for _, round := range s.rounds {
		if round.number == number {
			return round
		}
	}
	return nil
}

// Absent takes the news that the host of an agent that was unsure does not hold
// a flow.
func (s *Searcher) Absent(agent anvilglade.IPv4, flow anvilglade.Flow) {
	if found := s.searches[flow]; found != nil {
		delete(found.unsure, agent)
	}
}

// Conclude returns the flows that none of the agents holds, and ends their
// searches. The agents have to be all that may hold flows.
func (s *Searcher) Conclude(agents []anvilglade.IPv4) []anvilglade.Flow {
	var nowhere []anvilglade.Flow
	for _, round := range slices.Clone(s.rounds) {
		if !round.complete(agents) {
			continue
		}
		for _, flow := range round.flows {
			if searched := s.searchIn(round, flow); searched != nil && !searched.unsureAt(agents) {
				nowhere = append(nowhere, flow)
				s.End(flow)
			}
		}
	}
	return nowhere
}

// unsureAt reports whether one of the agents has not found out about the flow.
func (s *search) unsureAt(agents []anvilglade.IPv4) bool {
	if len(s.unsure) == 0 {
		return false
	}
	return slices.ContainsFunc(agents, func(agent anvilglade.IPv4) bool { return !s.unsure[agent].IsZero() })
}

// complete reports whether each of the agents has answered.
func (r *round) complete(agents []anvilglade.IPv4) bool {
	for _, agent := range agents {
		if standing := r.agents[agent]; standing == nil || !standing.answered {
			return false
		}
	}
	return true
}

// Tick gives up questions without an answer, and searches that have lasted for
// too long, whose flows it returns. It is to be called several times in
// answerTimeout.
func (s *Searcher) Tick(now time.Time) []anvilglade.Flow {
	for _, round := range s.rounds {
		s.expireQuestions(round, now)
	}
	var expired []anvilglade.Flow
	for flow, searched := range s.searches {
		if now.Sub(searched.begun) > giveUpAfter {
			expired = append(expired, flow)
			s.End(flow)
		}
	}
	return expired
}
