package streamorigin

import (
	"maps"
	"slices"
	"time"
)

// repeatDelay is the time after which the first witness of a stream that has not ended is told once
// more: all messages may have been lost at the same moment.
const repeatDelay = 2 * time.Second

// Tell is what another process has to be told.
type Tell struct {
	Process string
	Origins []Origin
}

// SetMembers sets the other processes, by name, with the run of each. It returns what this process,
// named self, has to tell them now: of each stream that a caller may still hold, the witnesses out of
// all processes have to know. They did before, as the one that began it has told its witnesses out of
// the others; those that have joined them, or have started again, don't. Every process that knows a
// stream tells them, since the one that began it may have ended.
func (t *Table) SetMembers(now time.Duration, self string, members map[string]string) []Tell {
	t.mu.Lock()
	before := t.members
	if maps.Equal(before, members) {
		t.mu.Unlock()
		return nil
	}
	t.self, t.members = self, maps.Clone(members)
	held := t.held(now)
	t.mu.Unlock()

	names, namesBefore := withSelf(members, self), withSelf(before, self)
	tells := tellList{}
	for _, origin := range held {
		informed := Witnesses(origin.Key, namesBefore)
		for _, name := range Witnesses(origin.Key, names) {
			isInformed := slices.Contains(informed, name) && before[name] == members[name]
			if name != self && !isInformed {
				tells.add(name, origin)
			}
		}
	}
	return tells.list()
}

// ForMember returns the streams that another process has to know, if it is among their witnesses.
func (t *Table) ForMember(now time.Duration, member string) []Origin {
	t.mu.Lock()
	held, names := t.held(now), withSelf(t.members, t.self)
	t.mu.Unlock()
	if !slices.Contains(names, member) {
		names = append(names, member)
	}
	return slices.DeleteFunc(held, func(origin Origin) bool {
		return !slices.Contains(Witnesses(origin.Key, names), member)
	})
}

// HandOver returns what the other processes have to know when this one ends.
func (t *Table) HandOver(now time.Duration) []Tell {
	t.mu.Lock()
	held, others := t.held(now), slices.Collect(maps.Keys(t.members))
	t.mu.Unlock()
	tells := tellList{}
	for _, origin := range held {
		for _, name := range Witnesses(origin.Key, others) {
			tells.add(name, origin)
		}
	}
	return tells.list()
}

// Repeat returns what the first witnesses are told once more: the streams that this process told them
// of repeatDelay ago, and that have not ended.
func (t *Table) Repeat(now time.Duration) []Tell {
	t.mu.Lock()
	var due []Origin
	for len(t.toldOnce) > 0 && now-t.toldOnce[0].at >= repeatDelay {
		key := t.toldOnce[0].key
		t.toldOnce = t.toldOnce[1:]
		if known, ok := t.streams.Peek(key); ok && !known.hasEnded {
			due = append(due, known.origin(now, key))
		}
	}
	others := slices.Collect(maps.Keys(t.members))
	t.mu.Unlock()
	tells := tellList{}
	for _, origin := range due {
		for _, name := range lowestRanked(origin.Key, others, 1) {
			tells.add(name, origin)
		}
	}
	return tells.list()
}

// toldStream is a stream of which the witnesses were told at a time.
type toldStream struct {
	key Key
	at  time.Duration
}

// held returns the streams that callers may still hold and that others have to know. The caller
// must hold t.mu.
func (t *Table) held(now time.Duration) []Origin {
	var held []Origin
	for _, key := range t.streams.Keys() {
		known, _ := t.streams.Peek(key)
		if !known.untold && !known.hasEnded && now-known.at <= t.holdTime {
			held = append(held, known.origin(now, key))
		}
	}
	return held
}

// withSelf returns the names of members and of this process.
func withSelf(members map[string]string, self string) []string {
	return append(slices.Collect(maps.Keys(members)), self)
}

// origin returns where the stream with a key began.
func (o *origin) origin(now time.Duration, key Key) Origin {
	return Origin{Key: key, Version: o.software.Version, Age: now - o.at}
}

// tellList collects what each process has to be told.
type tellList map[string][]Origin

func (l tellList) add(process string, origin Origin) { l[process] = append(l[process], origin) }

// list returns the tells, ordered by process.
func (l tellList) list() []Tell {
	tells := make([]Tell, 0, len(l))
	for _, process := range slices.Sorted(maps.Keys(l)) {
		tells = append(tells, Tell{Process: process, Origins: l[process]})
	}
	return tells
}
