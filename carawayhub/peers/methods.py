"""Paths and message types of the calls between the processes of a system."""

from dataclasses import dataclass
from typing import Any

from carawayhub.agent.messages import (
    FenceReply,
    FenceRequest,
    Handover,
    HandoverTaken,
    LookUp,
    LookUpReply,
)
from carawayhub.fleet.messages import FilesReply, FilesRequest, ManifestReply, ManifestRequest
from carawayhub.peers.messages import (
    Heartbeat,
    HeartbeatReply,
    Hello,
    LeaseReply,
    LeaseRequest,
    RunReply,
    RunRequest,
    StandingReply,
    StandingRequest,
)

SERVICE = "/carawayhub.Peers/"

LinkUp = Hello | Heartbeat
LinkDown = Hello | HeartbeatReply


@dataclass(frozen=True, slots=True)
class Method:
    """Path, request type and reply type of one call."""

    path: str
    request: Any
    reply: Any


LINK = Method(SERVICE + "Link", LinkUp, LinkDown)
RUN = Method(SERVICE + "Run", RunRequest, RunReply)
STANDING = Method(SERVICE + "Standing", StandingRequest, StandingReply)
LEASE = Method(SERVICE + "Lease", LeaseRequest, LeaseReply)
MANIFEST = Method(SERVICE + "Manifest", ManifestRequest, ManifestReply)
FILES = Method(SERVICE + "Files", FilesRequest, FilesReply)
FENCE = Method(SERVICE + "Fence", FenceRequest, FenceReply)
LOOK_UP = Method(SERVICE + "LookUp", LookUp, LookUpReply)
HANDOVER = Method(SERVICE + "Handover", Handover, HandoverTaken)
