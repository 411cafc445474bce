package command

import (
	"time"

	"github.com/nutmeglatch/nutmeglatch/internal/packet"
)

func testInput(candidates []Candidate) Input {
	return Input{
		Service: testService, Bucket: 7, Flow: packet.NewKey(testCaller, testTarget, packet.ProtoUDP),
		Deadline: 5 * time.Second, Candidates: candidates,
	}
}
