package datagram_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shallotpier/shallotpier/internal/datagram"
)

const kind = datagram.Kind(9)

// start runs an exchange on loopback and returns its address.
func start(t *testing.T, x *datagram.Exchange) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = x.Run(ctx, conn)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = conn.Close()
	})
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// ask repeats the question until the asker's Run has begun.
func ask(t *testing.T, x *datagram.Exchange, to netip.AddrPort, question string) (string, error) {
	t.Helper()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		answer, err := x.Ask(ctx, to, kind, []byte(question))
		cancel()
		if err == nil || err.Error() != "exchange is not running" {
			return string(answer), err
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against answers that reach another question than their own.
func TestAnswersReachTheirQuestions(t *testing.T) {
	is := is.New(t)
	var asker, answerer datagram.Exchange
	answerer.Handle(kind, func(_ netip.AddrPort, q []byte) []byte { return append([]byte("re: "), q...) })
	to := start(t, &answerer)
	start(t, &asker)
	for _, q := range []string{"a", "b", "c"} {
		answer, err := ask(t, &asker, to, q)
		is.NoErr(err)
		is.Equal(answer, "re: "+q)
	}
}

// Guards against an answer that comes from an address that wasn't asked, such as a late one
// of an instance that had the address before.
func TestAnswerOfAnotherAddressIsDropped(t *testing.T) {
	is := is.New(t)
	var asker datagram.Exchange
	start(t, &asker)
	asked, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer asked.Close()
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	defer other.Close()
	go func() {
		buf := make([]byte, 2048)
		n, from, err := asked.ReadFrom(buf)
		if err != nil {
			return
		}
		var m map[int]any
		_ = cbor.Unmarshal(buf[:n], &m)
		m[3], m[4] = true, []byte("forged")
		data, _ := cbor.Marshal(m)
		_, _ = other.WriteTo(data, from)
		m[4] = []byte("true")
		data, _ = cbor.Marshal(m)
		time.Sleep(20 * time.Millisecond)
		_, _ = asked.WriteTo(data, from)
	}()
	answer, err := ask(t, &asker, asked.LocalAddr().(*net.UDPAddr).AddrPort(), "q")
	is.NoErr(err)
	is.Equal(answer, "true")
}

// Guards against a question that waits for longer than its context when no answer comes.
func TestQuestionWithoutAnswerEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	var asker, answerer datagram.Exchange
	answerer.Handle(kind, func(netip.AddrPort, []byte) []byte { return nil })
	to := start(t, &answerer)
	start(t, &asker)
	_, err := ask(t, &asker, to, "q")
	is.True(err != nil)
}

// Guards against messages that are not sent, or sent more than once, without an error.
func TestSend(t *testing.T) {
	is := is.New(t)
	var sender, receiver datagram.Exchange
	got := make(chan int, 10)
	receiver.Handle(kind, func(_ netip.AddrPort, m []byte) []byte { return m })
	receiver.Handle(kind+1, func(_ netip.AddrPort, m []byte) []byte {
		got <- len(m)
		return nil
	})
	to := start(t, &receiver)
	is.Equal(sender.Send(to, kind+1, nil).Error(), "exchange is not running")
	start(t, &sender)
	_, err := ask(t, &sender, to, "q") // so that it runs
	is.NoErr(err)
	is.Equal(sender.Send(to, kind+1, make([]byte, datagram.MaxPayload+1)).Error(), "message has 1201 bytes, want at most 1200")
	is.NoErr(sender.Send(to, kind+1, make([]byte, datagram.MaxPayload)))
	is.Equal(<-got, datagram.MaxPayload)
	_, err = ask(t, &sender, to, "q") // on loopback, datagrams keep their order
	is.NoErr(err)
	is.Equal(len(got), 0)
}
