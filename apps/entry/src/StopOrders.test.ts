import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallerExchange } from './CallerServer.js';
import { mayHaveStopped, StopOrders, waitForAnswers } from './StopOrders.js';

const call = {} as CallerExchange;
const otherCall = {} as CallerExchange;

test('a run without orders has not been stopped', () => {
  const orders = new StopOrders();
  orders.add(otherCall, 'i-1');
  orders.add(call, 'i-2');
  assert.equal(mayHaveStopped(orders.list(call, 'i-1')), false);
  assert.equal(waitForAnswers(orders.list(call, 'i-1')), undefined);
});

// Guards against an order that is forgotten once it has been given up, and stops its run later.
test('an order may stop its run for as long as the call is open, also if it has no answer', () => {
  const orders = new StopOrders();
  orders.add(call, 'i-1').end('unknown');
  assert.equal(waitForAnswers(orders.list(call, 'i-1')), undefined);
  assert.equal(mayHaveStopped(orders.list(call, 'i-1')), true);
});

// Guards against whole streams that are broken off because of an order that came too late for them.
test('an order that was proved not to be carried out has stopped nothing', () => {
  const orders = new StopOrders();
  orders.add(call, 'i-1').end('notCarriedOut');
  assert.equal(mayHaveStopped(orders.list(call, 'i-1')), false);
});

// Guards against a later proof that hides an earlier order: a run that it has stopped is not found any more.
test('an order that was not carried out says nothing about another one', () => {
  const orders = new StopOrders();
  orders.add(call, 'i-1').end('unknown');
  orders.add(call, 'i-1').end('notCarriedOut');
  assert.equal(mayHaveStopped(orders.list(call, 'i-1')), true);
});

test('the end of a run waits for the answers of all its orders', async () => {
  const orders = new StopOrders();
  const first = orders.add(call, 'i-1');
  const second = orders.add(call, 'i-1');
  let isAnswered = false;
  const answered = waitForAnswers(orders.list(call, 'i-1'))?.then(() => {
    isAnswered = true;
  });
  second.end('notCarriedOut');
  await Promise.resolve();
  assert.equal(isAnswered, false);
  first.end('notCarriedOut');
  await answered;
  assert.equal(isAnswered, true);
});

// Guards against a whole answer that is broken off because of an order that came after its end.
test('an order that is sent later is not among those that were listed', () => {
  const orders = new StopOrders();
  const atEnd = orders.list(call, 'i-1');
  orders.add(call, 'i-1');
  assert.equal(mayHaveStopped(atEnd), false);
});
