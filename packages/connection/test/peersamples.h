#ifndef MANGODECK_CONNECTION_TEST_PEERSAMPLES_H
#define MANGODECK_CONNECTION_TEST_PEERSAMPLES_H

#include "mangodeck/request/peermessage.h"

namespace mangodeck {

inline GroupId sampleGroup() {
  return {ServiceName("assistant"), FailureDomain("luzon-south-a"), 1};
}

/// A ticket that arrived 5 ms before \p Now and has 30 s left.
inline SubmitTicket sampleTicket(TimePoint Now) {
  Ticket Request;
  Request.Id = {0x0123456789abcdefULL, 0xfedcba9876543210ULL};
  Request.Entry = VmName("sa-a-1");
  Request.Customer = CustomerName("ticketing-desk");
  Request.Service = ServiceName("assistant");
  Request.Tier = 2;
  Request.Arrival = Now - 5ms;
  Request.Deadline = Now + 30s;
  Request.PromptTokens = 900;
  Request.OutputTokens = 400;
  Request.PrefixBlocks = {1, 2, 3, 4};
  Request.TokensPerBlock = 256;
  Request.Fingerprint = 0x1122334455667788ULL;
  Request.Idempotent = false;
  Request.Hops = 1;
  return {sampleGroup(), Request};
}

/// One message of each kind, in the order of PeerMessage's alternatives.
inline std::vector<PeerMessage> samplePeerMessages(TimePoint Now) {
  const RequestId Id{1, 2};
  const TargetName Target("runner-luzon-a-07");
  const std::string Key = "ticketing-desk/" + std::string(32, 'f');
  const auto Submit = sampleTicket(Now);
  FinishReport Report{Id,    Target, FinishKind::Cancelled, 900, 512, 371,
                      250ms, 9s};
  RunningRequest Running{Submit.Request, Target, 1733260000, 4s};
  return {Submit,
          WithdrawTicket{sampleGroup(), Id},
          GrantTicket{{Id, sampleGroup(), Target, 1733260000, 12}},
          RefuseTicket{Id, {NotRunReason::Draining, 1500ms}},
          MoveTicket{Id, sampleGroup()},
          ReturnGrant{sampleGroup(), Id, Target, ReturnReason::Expired},
          ReportFinish{sampleGroup(), Report},
          ReportRunning{sampleGroup(), {Running, Running}},
          FetchRevisions{41},
          OfferRevisions{{{42, "a: 1"}, {43, "b: 2"}}},
          JoinKey{Key, Id},
          KeyHolder{Id, VmName("sa-a-2"), {3, 4}},
          FollowAnswer{Id, {3, 4}},
          AnswerPart{Id, 7, 200, "text/event-stream", "data: x", true, Run::No},
          ReleaseKey{Key, Id}};
}

} // namespace mangodeck

#endif
