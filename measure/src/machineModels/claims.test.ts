import { test } from 'node:test';
import { reduceClaimedCall } from '@hornbeampond/entry-core';
import { applyCommand } from '@hornbeampond/store-core';
import { makeClaimsModel, realClaimsParts, type ClaimsBounds } from './claimsModel.js';
import { expectCaught, expectHolds } from './expectModel.js';
import { walkModel } from './walkModel.js';

const TWO_SENDS = 'two sends of one key can have reached a backend server';
const SENT_AFTER_NO = 'an attempt whose caller was told `ran: no` was sent';
const HELD_AFTER_NO = 'an attempt that was given up holds the claim against resends';

const oneCaller: ClaimsBounds = {
  callers: ['lot'],
  attemptsPerCaller: 2,
  mostTries: 3,
  jumps: 1,
};
const resendElsewhere: ClaimsBounds = {
  callers: ['lot', 'lot'],
  attemptsPerCaller: 2,
  mostTries: 1,
  jumps: 0,
};
const resendAfterExpiry: ClaimsBounds = { ...resendElsewhere, attemptsPerCaller: 1, jumps: 1 };
const resendOfResend: ClaimsBounds = { ...resendElsewhere, attemptsPerCaller: 1, mostTries: 2 };
const resendNextDay: ClaimsBounds = { ...resendAfterExpiry, jumpsPast: 'retention' };
const otherBody: ClaimsBounds = { ...resendAfterExpiry, callers: ['lot', 'other lot'] };

test('claims: one caller, whose call is tried on two backend servers', (context) => {
  expectHolds(context, makeClaimsModel(oneCaller));
});

test('claims: a caller resends through another entry, each with two attempts', (context) => {
  expectHolds(context, makeClaimsModel(resendElsewhere));
});

test('claims: a caller resends around the expiry of the first claim', (context) => {
  expectHolds(context, makeClaimsModel(resendAfterExpiry));
});

test('claims: a caller uses its key again after the claim was forgotten', (context) => {
  expectHolds(context, makeClaimsModel(resendNextDay));
});

test('claims: a caller resends while both entries resend to the store', (context) => {
  expectHolds(context, makeClaimsModel(resendOfResend));
});

test('claims: two bodies under one key', (context) => {
  expectHolds(context, makeClaimsModel(otherBody));
});

test('claims: random walks with four callers, two attempts, three tries, two expiries', () => {
  const callers = ['lot', 'lot', 'lot', 'other lot'];
  const bounds = { callers, attemptsPerCaller: 2, mostTries: 3, jumps: 2 };
  walkModel(makeClaimsModel(bounds), { walks: 3000, mostSteps: 90, seed: 20261203 });
});

// The seller is paid twice: the offer's connection breaks after it was sent, the entry takes that
// for a failure before the first byte, releases the claim, and sends the offer again elsewhere.
test('claims mutation: released after the call may have reached a backend server', (context) => {
  const reduce: typeof reduceClaimedCall = (call, event) =>
    reduceClaimedCall(
      call,
      event.type === 'sendFailed' ? { ...event, beforeFirstByte: true } : event,
    );
  expectCaught(context, makeClaimsModel(oneCaller, { ...realClaimsParts, reduce }), TWO_SENDS);
});

// The caller is told that nothing ran, and each resend of it that the claim is running. The first
// entry's release overtakes its own openClaim, which then opens the claim with nobody to send it.
test('claims mutation: a release leaves no bar behind', (context) => {
  const apply: typeof applyCommand = (state, stamped) => {
    const result = applyCommand(state, stamped);
    state.barredAttempts.clear();
    return result;
  };
  expectCaught(context, makeClaimsModel(oneCaller, { ...realClaimsParts, apply }), HELD_AFTER_NO);
});

// The seat is booked twice: the first entry is slow and its claim expires, a resend opens the
// claim again and sends, and the first booking is still on its way.
test('claims mutation: an expired claim opens again', (context) => {
  const apply: typeof applyCommand = (state, stamped) => {
    for (const [name, claim] of state.claims) {
      const isExpired = claim.phase === 'open' && claim.expiresAt <= stamped.at;
      if (isExpired && stamped.command.type === 'openClaim') state.claims.delete(name);
    }
    return applyCommand(state, stamped);
  };
  const model = makeClaimsModel(resendAfterExpiry, { ...realClaimsParts, apply });
  expectCaught(context, model, TWO_SENDS);
});

// The caller is told that its booking did not run, and then it runs: the entry gave up waiting for
// the log but did not give the attempt up, and sent when the late grant came.
test('claims mutation: refused before the attempt is given up', (context) => {
  const reduce: typeof reduceClaimedCall = (call, event) => {
    if (event.type !== 'resendDue' || call.phase !== 'opening') {
      return reduceClaimedCall(call, event);
    }
    return [{ type: 'refuse', kind: 'claimsUnavailable', ran: 'no' }];
  };
  expectCaught(context, makeClaimsModel(oneCaller, { ...realClaimsParts, reduce }), SENT_AFTER_NO);
});

// The caller is told that nothing ran while the entry's openClaim is still on its way; the claim is
// then opened and stands against the caller's resends.
test('claims mutation: an unsure open is given up without a release', (context) => {
  const reduce: typeof reduceClaimedCall = (call, event) => {
    if (event.type !== 'resendDue' || call.phase !== 'opening') {
      return reduceClaimedCall(call, event);
    }
    Object.assign(call, { phase: 'finished', pending: undefined });
    return [{ type: 'refuse', kind: 'claimsUnavailable', ran: 'no' }, { type: 'finished' }];
  };
  expectCaught(context, makeClaimsModel(oneCaller, { ...realClaimsParts, reduce }), HELD_AFTER_NO);
});

// The offer is made twice: an entry was paused with the log's grant unread, the claim expired and
// was forgotten, the shop used its key again, and then the paused entry woke and sent.
test('claims mutation: a grant is taken however late it comes', (context) => {
  const reduce: typeof reduceClaimedCall = (call, event) =>
    reduceClaimedCall(call, 'now' in event ? { ...event, now: call.startedAt } : event);
  expectCaught(context, makeClaimsModel(resendNextDay, { ...realClaimsParts, reduce }), TWO_SENDS);
});
