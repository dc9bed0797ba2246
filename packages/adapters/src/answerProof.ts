/**
 * States what proves that an answer belongs to the call that waits for it. HTTP/1.1 tells the answers on a
 * connection apart only by their order, and a backend server may answer a call twice. If the second answer
 * is taken for that to the next call, so is every later answer on the connection for that to the call after
 * its own.
 *
 * There are two proofs:
 *
 * - `onlyCall`: no other call was sent on the connection. It needs nothing of the server.
 * - `namesCall`: the answer names the ID of the call, and no other call with this ID was sent on the
 *   connection. Only with this proof may a connection be kept for further calls.
 *
 * | calls                                                          | proof                                 |
 * | -------------------------------------------------------------- | ------------------------------------- |
 * | opaque calls with an ID of their caller                        | `namesCall`                           |
 * | opaque calls without an ID                                     | `onlyCall`                            |
 * | orders to move caches or to size pools, reports of usage       | `onlyCall`                            |
 * | pages of the list of instances, probes                         | `onlyCall`                            |
 * | calls by the system's own interfaces to servers that name them | `namesCall`                           |
 * | calls by these interfaces to other servers                     | `onlyCall`                            |
 * | calls of an operator's client                                  | `onlyCall`                            |
 * | requests between processes of the system, in frames            | ID of the request, used once          |
 *
 * A tunnel carries one connection and is judged like it.
 */
import type { NamedCall } from '@hornbeampond/schema';

/** What proves that the answer to a call belongs to it. */
export type AnswerProof = 'onlyCall' | 'namesCall';

/** Tells whether an answer is proved to belong to a call, from the ID that the answer names. */
export function isProven(proof: AnswerProof, namedCall: NamedCall): boolean {
  return proof === 'namesCall' ? namedCall === 'thisCall' : namedCall !== 'anotherCall';
}

/**
 * Tells whether an answer belongs to an opaque call, from the ID that the answer names.
 *
 * @param callId - ID of the call; undefined if it has none.
 */
export function belongsToCall(
  callId: string | undefined,
  namedCall: NamedCall | undefined,
): boolean {
  return namedCall === (callId === undefined ? 'noCall' : 'thisCall');
}
