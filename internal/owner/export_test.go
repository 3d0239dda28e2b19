package owner

import "context"

// Pass is one scheduling pass.
func (o *Owner) Pass() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.place()
	o.lookAgain()
}

// Load takes over every shard that the membership claims.
func (o *Owner) Load(ctx context.Context) error {
	claimed := o.member.Claimed()
	shards := make([]int, 0, len(claimed))
	for s := range claimed {
		shards = append(shards, s)
	}
	return o.load(ctx, shards, claimed)
}
