package agtask_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade/internal/runtime/agtask"
)

func TestGroup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agtask")
}

var _ = Describe("Group", func() {
	var group *agtask.Group

	BeforeEach(func() {
		var stop func()
		var err error
		group, stop, err = agtask.NewGroup(context.Background())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
	})

	// Guards against a process that continues to run without one of its tasks.
	It("stops every task when one fails", func() {
		failure := errors.New("socket closed")
		Expect(group.Start("waiter", func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})).To(Succeed())
		Expect(group.Start("failing", func(context.Context) error { return failure })).To(Succeed())
		Expect(group.Wait()).To(MatchError(failure))
		Expect(group.Running()).To(BeZero())
	})

	// Guards against a panic in a task that ends the process without cleaning up.
	It("converts a panic into an error", func() {
		Expect(group.Start("panicking", func(context.Context) error { panic("index out of range") })).To(Succeed())
		Expect(group.Wait()).To(MatchError(ContainSubstring("index out of range")))
	})

	// Guards against a process that neither works nor exits, because the task that
	// panicked has left a mutex locked.
	It("ends after a panic although another task is blocked", func(SpecContext) {
		var mu sync.Mutex
		locked := make(chan struct{})
		Expect(group.Start("blocked", func(context.Context) error {
			<-locked
			mu.Lock()
			return nil
		})).To(Succeed())
		Expect(group.Start("panicking", func(context.Context) error {
			mu.Lock()
			close(locked)
			panic("index out of range")
		})).To(Succeed())
		Expect(group.Wait()).To(MatchError(ContainSubstring("index out of range")))
	}, SpecTimeout(10*time.Second), GracePeriod(time.Second))
})
