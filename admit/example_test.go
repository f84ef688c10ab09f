package admit_test

import (
	"fmt"
	"time"

	"github.com/wheatweir/wheatweir/admit"
	"github.com/wheatweir/wheatweir/api"
)

// A critical request starts before a free one that arrived one second earlier.
func ExampleQueue_Arrive() {
	now := time.Unix(0, 0)
	queue := admit.NewQueue(admit.DefaultSettings(), 1)
	queue.Arrive(now, &admit.Ticket{})
	queue.Arrive(now, &admit.Ticket{Priority: api.PriorityFree})
	queue.Arrive(now.Add(time.Second), &admit.Ticket{Priority: api.PriorityCritical})
	started, _ := queue.Finish(now.Add(2*time.Second), time.Second)
	fmt.Println(started[0].Priority)
	// Output: critical
}
