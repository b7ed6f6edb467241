package quorum_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// counter is a state machine that sums numbers.
type counter struct{ sum int }

func (c *counter) Apply(_ uint64, cmd []byte) []byte {
	n, _ := strconv.Atoi(string(cmd))
	c.sum += n
	return []byte(strconv.Itoa(c.sum))
}

func (c *counter) Snapshot() ([]byte, error) { return []byte(strconv.Itoa(c.sum)), nil }

func (c *counter) Restore(snapshot []byte) (err error) {
	c.sum, err = strconv.Atoi(string(snapshot))
	return err
}

// A quorum of one member that keeps a sum across restarts. With more members,
// Options needs a Transport, and received messages are passed to Node.Step.
func Example() {
	folder, err := os.MkdirTemp("", "quorum")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()

	for range 2 {
		node, err := quorum.Start(quorum.Options{
			Name:         "alpha",
			Members:      []quorum.Member{{Name: "alpha"}},
			Folder:       folder,
			StateMachine: &counter{},
		})
		if err != nil {
			panic(err)
		}
		fmt.Println(add(node, "20"))
		node.Stop()
	}
	// Output:
	// 20
	// 40
}

// add retries a command until there is a leader. A retry is safe only after an error
// that guarantees that the command was not appended.
func add(node *quorum.Node, cmd string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		result, err := node.Propose(ctx, []byte(cmd))
		if err == nil {
			return string(result)
		}
		if !quorum.IsNotAppended(err) || ctx.Err() != nil {
			return err.Error()
		}
		time.Sleep(quorum.DefaultTick)
	}
}
