package member

// maxExchangedMembers bounds the members in one message of an exchange. A later exchange sends the
// rest.
const maxExchangedMembers = 128

// startExchange answers an Ack of a daemon whose digest of the members differs. The reply carries
// the members in the differing buckets; with the own sums it requests the other daemon's members.
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

// handleExchange returns the members in the buckets in which the sender's sums differed.
func (d *Detector) handleExchange(message *Message, differingBuckets map[int]bool) []Packet {
	if len(differingBuckets) == 0 {
		return nil
	}
	reply := d.message(Exchange, message.Sequence)
	reply.Members = append(reply.Members, d.membersInBuckets(differingBuckets, len(message.Buckets))...)
	return []Packet{{message.Sender.PeerAddress, reply}}
}

// membersInBuckets returns the members in some of count buckets. This daemon is left out, since
// each message names its sender. If there are more than maxExchangedMembers, a random sample is
// returned.
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
