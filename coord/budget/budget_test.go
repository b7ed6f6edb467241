package budget_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/budget"
)

func request(holder string, want int64, sequence uint64) budget.Request {
	return budget.Request{Budget: "b", Holder: holder, Want: want, Sequence: sequence, Limit: 100, Duration: time.Minute}
}

func TestRequestSentBeforeReturnIsNotGranted(t *testing.T) {
	tests := []struct {
		name    string
		arrived []budget.Request // before the delayed request
		delayed budget.Request
	}{
		{"renewal after the return", []budget.Request{request("a", 100, 1), request("a", 0, 3)}, request("a", 100, 2)},
		{"first request after the return", []budget.Request{request("a", 0, 2)}, request("a", 100, 1)},
		{"renewal after a duplicate return", []budget.Request{request("a", 100, 1), request("a", 0, 3), request("a", 0, 3)}, request("a", 100, 2)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var table budget.Table
			for i, r := range test.arrived {
				table.Lease(int64(i), r)
			}
			g.Expect(table.Lease(10, test.delayed).Amount).To(BeZero())
			g.Expect(table.ActiveAmount(10, "b")).To(BeZero())
			g.Expect(table.Lease(11, request("b", 100, 1)).Amount).To(BeEquivalentTo(100))
		})
	}
}

func TestHolderMayLeaseAgainAfterReturn(t *testing.T) {
	g := NewWithT(t)
	var table budget.Table
	table.Lease(0, request("a", 100, 1))
	table.Lease(1, request("a", 0, 2))
	g.Expect(table.Lease(2, request("a", 100, 3)).Amount).To(BeEquivalentTo(100))
	g.Expect(table.Lease(3, request("a", 0, 2)).Amount).To(BeZero())
	g.Expect(table.ActiveAmount(3, "b")).To(BeEquivalentTo(100))
}

func TestReturnedLeasesAreBounded(t *testing.T) {
	g := NewWithT(t)
	var table budget.Table
	const extra = 10
	for i := range budget.MaxReturned + extra {
		table.Lease(int64(i), request(fmt.Sprintf("holder-%d", i), 0, 2))
	}
	returned := table.Budgets["b"].Returned
	g.Expect(returned).To(HaveLen(budget.MaxReturned))
	g.Expect(returned).NotTo(HaveKey(fmt.Sprintf("holder-%d", extra-1)), "the oldest are forgotten")
	g.Expect(returned).To(HaveKey(fmt.Sprintf("holder-%d", extra)))

	later := int64(budget.MaxReturned+extra) + budget.MaxLeaseDuration.Microseconds()
	table.Lease(later, request("a", 100, 1))
	g.Expect(table.Budgets["b"].Returned).To(BeEmpty())
}
