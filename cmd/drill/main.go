// Command drill runs instances of the decision module for the simulator. It reads
// frames of events on standard input and writes one reply to each on standard
// output. Instances share no state.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"rundeal/internal/wire"
	"rundeal/logic"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instanceBatch holds the events of one instance in the current frame.
type instanceBatch struct {
	instance int
	sender   *logic.Sender
	events   []logic.Event
}

// run replies to frames until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec, w := wire.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	senders := map[int]*logic.Sender{}
	for {
		frame, err := dec.Next()
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		batches, err := applyFrame(frame, senders)
		if err != nil {
			return err
		}
		var reply []byte
		for _, batch := range batches {
			for _, action := range batch.sender.Step(frame.Clock, batch.events) {
				reply = wire.AppendAction(reply, batch.instance, action)
			}
		}
		reply = append(reply, "eor "+frame.Round+"\n"...)
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// applyFrame starts and stops instances as the frame requests and groups its events
// by instance, in the order in which instances first appear. The result leaves out
// instances that are stopped at the end of the frame.
func applyFrame(frame *wire.Frame, senders map[int]*logic.Sender) ([]*instanceBatch, error) {
	var batches []*instanceBatch
	byInstance := map[int]*instanceBatch{}
	for _, event := range frame.Events {
		switch {
		case event.Create != nil:
			sender, err := logic.New(event.Create.Settings, event.Create.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", event.Instance, err)
			}
			senders[event.Instance] = sender
			batch := byInstance[event.Instance]
			if batch == nil {
				batch = &instanceBatch{instance: event.Instance}
				byInstance[event.Instance] = batch
				batches = append(batches, batch)
			}
			batch.sender, batch.events = sender, nil
		case event.Halt:
			delete(senders, event.Instance)
			if batch := byInstance[event.Instance]; batch != nil {
				batch.sender = nil
			}
		case senders[event.Instance] == nil:
			// The instance is not running: ignore the event.
		default:
			batch := byInstance[event.Instance]
			if batch == nil {
				batch = &instanceBatch{instance: event.Instance, sender: senders[event.Instance]}
				byInstance[event.Instance] = batch
				batches = append(batches, batch)
			}
			if event.Event != nil {
				batch.events = append(batch.events, event.Event)
			}
		}
	}
	running := batches[:0]
	for _, batch := range batches {
		if batch.sender != nil {
			running = append(running, batch)
		}
	}
	return running, nil
}
