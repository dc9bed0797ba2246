import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Allowance, EntryReport } from '@hornbeampond/schema';
import { AllowanceLedger } from './AllowanceLedger.js';

const allowance: Allowance = {
  unit: 'tokens',
  perSecond: 100,
  burst: 200,
  windowMilliseconds: 8000,
  plainTokens: 0,
};

/** What may be spent in any window. */
const MOST = 1000;

function report(instance: string, spent: number, incarnation = 1): EntryReport {
  return {
    type: 'entryReport',
    instance,
    dataCentre: 'a',
    incarnation,
    sequence: 1,
    leaving: false,
    revision: 1,
    inProgress: {},
    leavingBackendServers: {},
    suspects: [],
    spent: { laden: spent },
  };
}

/** The ledger of an entry that was started a while ago. */
function makeLedger(): AllowanceLedger {
  const ledger = new AllowanceLedger();
  ledger.ask('laden', allowance, 1, -10_000);
  return ledger;
}

/** Spends in steps of 10 as long as it is allowed, and returns how much. */
function spendAll(ledger: AllowanceLedger, now: number): number {
  let spent = 0;
  while (spent < 10 * MOST && ledger.ask('laden', allowance, 10, now).type === 'allowed') {
    ledger.spend('laden', 10, now);
    spent += 10;
  }
  return spent;
}

test('a window holds the rate and the burst, wherever it begins', () => {
  const ledger = makeLedger();
  const spentAt: [number, number][] = [];
  for (let now = 0; now < 40_000; now += 100) spentAt.push([now, spendAll(ledger, now)]);
  spentAt.forEach(([from]) => {
    const inWindow = spentAt
      .filter(([at]) => at >= from && at < from + allowance.windowMilliseconds)
      .reduce((sum, [, spent]) => sum + spent, 0);
    assert.ok(inWindow <= MOST, `${inWindow} from ${from}`);
  });
});

test('one that comes back when it was told to is allowed', () => {
  const ledger = makeLedger();
  spendAll(ledger, 0);
  const refused = ledger.ask('laden', allowance, 10, 500);
  assert.ok(refused.type === 'exceeded');
  const later = 500 + refused.retryAfterMilliseconds;
  assert.equal(ledger.ask('laden', allowance, 10, later - 300).type, 'exceeded');
  assert.equal(ledger.ask('laden', allowance, 10, later + 1).type, 'allowed');
});

// A workspace sends many times its usual through all entries at once, and their reports are a second
// old. Each entry by itself would spend the whole window; together they keep to it but for what is
// left as the last round begins.
test('entries that hear each other each second keep to the allowance together', () => {
  const ledgers = Array.from({ length: 8 }, () => makeLedger());
  const spentAt: [number, number][] = [];
  for (let now = 0; now < 30_000; now += 50) {
    ledgers.forEach((ledger, number) => {
      if (now % 1000 === number * 100) {
        const own = ledger.spent.laden ?? 0;
        ledgers.forEach((other) => {
          if (other !== ledger) other.receive(report(`entry-${number}`, own), now);
        });
      }
      // Twice the rate in all.
      if (ledger.ask('laden', allowance, 1, now).type !== 'allowed') return;
      ledger.spend('laden', 1, now);
      spentAt.push([now, 1]);
    });
  }
  const worst = Math.max(
    ...spentAt.map(([from]) => spentAt.filter(([at]) => at >= from && at < from + 8000).length),
  );
  assert.ok(worst > MOST * 0.9 && worst <= MOST * 1.1, String(worst));
});

test('what other entries spend counts once, also after they restart', () => {
  const ledger = makeLedger();
  ledger.receive(report('entry-2', 5000), 0);
  ledger.receive(report('entry-2', 5600), 100);
  ledger.receive(report('entry-2', 5600), 200);
  ledger.receive(report('entry-2', 100, 2), 300);
  assert.equal(ledger.ask('laden', allowance, MOST - 700, 400).type, 'allowed');
  assert.equal(ledger.ask('laden', allowance, MOST - 699, 400).type, 'exceeded');
});

// Half of the entries are killed while a workspace sends many times its usual. Started again, each of
// them found an unspent window, and the workspace was let run far more than it is allowed.
test('an entry that has just started takes over what the window holds already', () => {
  const old = makeLedger();
  spendAll(old, 0);
  const ledger = new AllowanceLedger();
  assert.ok(spendAll(ledger, 900) <= MOST / 10);
  const windowSpent = old.windowSpent(1000);
  ledger.receive({ ...report('entry-2', MOST), windowSpent }, 1000);
  assert.equal(ledger.ask('laden', allowance, 10, 1100).type, 'exceeded');
  assert.equal(ledger.ask('laden', allowance, 10, 9500).type, 'allowed');
});

// All entries and stores lose power while a workspace sends many times its usual, and are back a second
// later. Nobody knows what was spent before; taken for nothing, the whole window would be spent again.
test('a window is not spent again after all entries have lost what they knew', () => {
  const spentAt: number[] = [];
  // Eight entries, twenty requests a second each: eight times the rate.
  const amount = 5;
  const run = (ledgers: AllowanceLedger[], from: number, to: number, incarnation: number) => {
    for (let now = from; now < to; now += 50) {
      ledgers.forEach((ledger, number) => {
        if ((now - from) % 1000 === number * 100) {
          const told = {
            ...report(`entry-${number}`, ledger.spent.laden ?? 0, incarnation),
            windowSpent: ledger.windowSpent(now),
            windowReach: ledger.reach(now),
          };
          ledgers.forEach((other) => {
            if (other !== ledger) other.receive(told, now);
          });
        }
        if (ledger.ask('laden', allowance, amount, now).type !== 'allowed') return;
        ledger.spend('laden', amount, now);
        spentAt.push(now);
      });
    }
  };
  run(
    Array.from({ length: 8 }, () => makeLedger()),
    0,
    20_000,
    1,
  );
  run(
    Array.from({ length: 8 }, () => new AllowanceLedger()),
    21_000,
    45_000,
    2,
  );
  const between = (from: number, to: number) =>
    amount * spentAt.filter((at) => at >= from && at < to).length;
  const restart = 21_000;
  for (let span = 1000; span < allowance.windowMilliseconds; span += 1000) {
    const rate = (allowance.perSecond * span) / 1000;
    const spent = between(restart, restart + span);
    // The burst at first; then the parts of all entries are twice the room at most. Each entry lets
    // one request through before that.
    assert.ok(spent <= allowance.burst + 2 * rate + 8 * amount, `${spent} in ${span} ms`);
  }
  // The rate goes on at once, and all of the window is there again once it is known.
  assert.ok(between(restart, restart + 8000) >= MOST * 0.5);
  assert.ok(between(36_000, 44_000) >= MOST * 0.9);
});

// An entry that starts beside others that have run for long takes over what they know.
test('one entry that starts anew is not held to the rate', () => {
  const old = makeLedger();
  const ledger = new AllowanceLedger();
  const windowReach = old.reach(0);
  ledger.receive({ ...report('entry-2', 0), windowSpent: {}, windowReach }, 0);
  assert.equal(ledger.ask('laden', allowance, MOST / 2, 100).type, 'allowed');
});

// Callers of a workspace on both sides of a network partition would together be let run twice what
// the operator allows. The entries of one side stop hearing the others and leave them their part.
test('an entry that hears only half of the others spends only their half', () => {
  const ledger = makeLedger();
  ['entry-2', 'entry-3', 'entry-4'].forEach((name) => ledger.receive(report(name, 0), 0));
  ledger.receive(report('entry-2', 0), 20_000);
  assert.equal(spendAll(ledger, 20_100), MOST / 2);
});

test('a request above the whole allowance may run while nothing else has', () => {
  const ledger = makeLedger();
  assert.equal(ledger.ask('laden', allowance, 5 * MOST, 0).type, 'allowed');
  ledger.spend('laden', 5 * MOST, 0);
  assert.equal(ledger.ask('laden', allowance, 1, 0).type, 'exceeded');
});
