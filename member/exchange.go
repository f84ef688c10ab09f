package member

// mostExchanged bounds the members that one message of an exchange tells. What is left out is told by a later one.
const maxExchangedMembers = 128

// exchange answers an Ack of a daemon that knows other members than this one: it tells what is known here of the
// buckets that differ, and with the own sums asks for what is known there.
func (d *Detector) startExchange(message *Message) []Packet {
	differingBuckets := d.digest.differing(message.Buckets)
	if len(differingBuckets) == 0 {
		return nil
	}
	reply := d.message(Exchange, message.Sequence)
	reply.Buckets = d.digest.foldedBuckets(len(d.members) + 1)
	reply.Members = append(reply.Members, d.membersInBuckets(differingBuckets, len(message.Buckets))...)
	return []Packet{{message.Sender.PeerAddress, reply}}
}

// exchanged answers what is known here of the buckets in which the sender knew something else.
func (d *Detector) handleExchange(message *Message, differingBuckets map[int]bool) []Packet {
	if len(differingBuckets) == 0 {
		return nil
	}
	reply := d.message(Exchange, message.Sequence)
	reply.Members = append(reply.Members, d.membersInBuckets(differingBuckets, len(message.Buckets))...)
	return []Packet{{message.Sender.PeerAddress, reply}}
}

// membersIn returns members of some of so many buckets, this daemon left out: each message names its sender. If
// there are too many, chance draws which.
func (d *Detector) membersInBuckets(buckets map[int]bool, count int) []Member {
	var found []Member
	for name, known := range d.members {
		if buckets[bucketOf(name)%count] {
			found = append(found, known.Member)
		}
	}
	d.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(len(found), maxExchangedMembers)]
}
