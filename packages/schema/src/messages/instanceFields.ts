/**
 * Ranges of the fields of a listed instance. Another writer may have left the row, so each field is
 * checked where the list is decoded: names go into headers, log lines and metrics, numbers into sums.
 */
import * as z from 'zod';
import type { UnreadableInstanceReason } from '../reasons.js';
import { MAX_CONCURRENCY } from '../tables/pools.js';

/** Longer than any host name; a longer text would not fit into every head and log line. */
const MAX_TEXT_LENGTH = 256;

/** Notices are given minutes ahead; a timer holds 24 days at most. */
export const MAX_NOTICE_MILLISECONDS = 7 * 24 * 60 * 60 * 1000;

/** What the value of an HTTP header holds unchanged: Latin-1 that neither begins nor ends with a blank. */
export const headerValuePattern =
  /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

/** Any letters, without control characters, line ends and halves of surrogate pairs. */
const textPattern = /^[^\p{Cc}\p{Cs}\p{Zl}\p{Zp}]*$/u;

/** Names a backend server, also in a header of its requests. */
export const instanceNameSchema = z.string().max(MAX_TEXT_LENGTH).regex(headerValuePattern);

/** Name of a pool or of a data centre. */
export const instancePlaceSchema = z.string().min(1).max(MAX_TEXT_LENGTH).regex(textPattern);

export const instanceVersionSchema = z.string().max(MAX_TEXT_LENGTH).regex(textPattern);

/** The same bound as that of operators' pools table. */
export const instanceConcurrencySchema = z.number().int().min(1).max(MAX_CONCURRENCY);

/** Time until an instance is removed; below zero if it should have been removed already. */
export const instanceNoticeSchema = z
  .number()
  .min(-MAX_NOTICE_MILLISECONDS)
  .max(MAX_NOTICE_MILLISECONDS);

/** A row of the list that names no instance to use. */
export interface SkippedInstance {
  readonly reason: UnreadableInstanceReason;
  /** The name that the row states, cut short, if it states one. */
  readonly name?: string;
}
