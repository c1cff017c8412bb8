package member_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// countedConn counts the bytes of a connection, both ways.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what comes in.
func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange shows what one exchange on an open connection costs, and
// what gRPC and HTTP/2 add to its two messages (TCP and IP are not counted).
func BenchmarkExchange(b *testing.B) {
	other := startBench(b)
	var bytes atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countedConn{Conn: connection, bytes: &bytes}, err
	}
	connection, err := grpc.NewClient("passthrough:///"+other,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
	must.NoError(b, err)
	defer func() { _ = connection.Close() }()
	client, members, messages := peerpb.NewMemberClient(connection), newMembers("bench"), 0
	one := func() {
		request := members.Request(time.Now())
		answer, err := client.Exchange(context.Background(), request)
		must.NoError(b, err)
		members.FollowUp(time.Now(), answer)
		messages += proto.Size(request) + proto.Size(answer)
	}
	for range 10 {
		one()
	}
	bytes.Store(0)
	messages = 0
	b.ReportAllocs()
	for b.Loop() {
		one()
	}
	b.ReportMetric(float64(messages)/float64(2*b.N), "B/message")
	b.ReportMetric(float64(bytes.Load()-int64(messages))/float64(2*b.N), "added-B/message")
}

// BenchmarkAnswer takes and answers a message with 1,330 processes known.
func BenchmarkAnswer(b *testing.B) {
	members := newMembers("a")
	gossip := &peerpb.Gossip{}
	for i := range 1330 {
		record := entryRecord("p"+string(rune('a'+i%26))+time.Duration(i).String(), 1)
		record.SetAddress("10.0.0.1:7400")
		gossip.SetProcesses(append(gossip.GetProcesses(), record))
	}
	members.MergeAnswer(start, gossip)
	answering := member.NewMembersFrom(newMembers("a").Self(), members)
	asking := member.NewMembersFrom(newMembers("b").Self(), members)
	asking.Request(start)
	request := asking.Request(start)
	b.ReportAllocs()
	for b.Loop() {
		answering.Answer(start, request)
	}
}

func startBench(b *testing.B) string {
	b.Helper()
	n := startNodeWith(b, "other", 1, &member.Exchanger{})
	return n.address
}
