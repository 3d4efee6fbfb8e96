package agreplica

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
)

// scriptedStore answers watches from a list and records the versions after
// which they were made.
type scriptedStore struct {
	anvilglade.Store
	answers []watchAnswer
	after   []anvilglade.Version
}

type watchAnswer struct {
	version anvilglade.Version
	err     error
}

func (s *scriptedStore) Watch(_ context.Context, kind, name string, after anvilglade.Version) (anvilglade.Object, error) {
	s.after = append(s.after, after)
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return anvilglade.Object{Kind: kind, Name: name, Version: answer.version}, answer.err
}

var _ = Describe("Watcher", func() {
	object := WatchedObject{Kind: anvilglade.RecordConfiguration, Name: "current"}

	poll := func(store *scriptedStore, replica *Replica) (pollResult, error) {
		events := agevent.NewRing("test", 16, anvilglade.SystemClock{})
		watcher := NewWatcher(replica, store, WatcherOptions{Balancers: func() int { return 4 }, Events: events})
		var result pollResult
		var err error
		for len(store.answers) > 0 {
			result, err = watcher.poll(context.Background(), object)
		}
		return result, err
	}

	// Guards against a store that returns an older version after a fail-over, so
	// that a revision is undone.
	It("keeps the higher version when the store returns an older one", func() {
		store := &scriptedStore{answers: []watchAnswer{{version: 9}, {version: 7}}}
		replica := NewReplica()
		result, err := poll(store, replica)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(pollStale))
		record, _ := replica.Get(object.Kind, object.Name)
		Expect(record.Version).To(Equal(anvilglade.Version(9)))
		Expect(store.after).To(Equal([]anvilglade.Version{0, 9}))
	})

	// Guards against a watch that starts below a version that a peer has sent,
	// so that the platform answers it immediately with that version.
	It("watches above the version that a peer has sent", func() {
		store := &scriptedStore{answers: []watchAnswer{{err: anvilglade.ErrNoChange}}}
		replica := NewReplica()
		replica.put(anvilglade.Record{Kind: object.Kind, Name: object.Name, Version: 12}, "b2")
		result, err := poll(store, replica)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(pollNoChange))
		Expect(store.after).To(Equal([]anvilglade.Version{12}))
	})

	// Guards against an outage that counts as an answer, so that a balancer
	// without configuration would report that it is ready.
	It("returns an error in an outage", func() {
		store := &scriptedStore{answers: []watchAnswer{{err: errors.New("connection refused")}}}
		_, err := poll(store, NewReplica())
		Expect(err).To(HaveOccurred())
	})
})
