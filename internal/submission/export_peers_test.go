package submission

// SetPeers has the service query other peers.
func (in *Service) SetPeers(peers Peers) { in.peers = peers }
