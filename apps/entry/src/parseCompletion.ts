/** Checks the body of a chat completion as far as the system itself depends on it. */
import { describeIssue, HornbeampondError } from '@hornbeampond/schema';
import type { CompletionBody } from '@hornbeampond/adapters';
import * as z from 'zod';

/**
 * The relay carries one text answer. Of a call of a tool nothing would reach the caller: it would
 * get an empty answer that looks whole, and so it is told at once instead.
 */
const unsupportedTools = z.array(z.unknown()).max(0, 'calls of tools are not carried').optional();

const completionSchema = z.looseObject({
  model: z.string().min(1).max(200).optional(),
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
  max_tokens: z.number().int().min(1).optional(),
  stream: z.boolean().optional(),
  tools: unsupportedTools,
  functions: unsupportedTools,
  n: z.literal(1, 'only one choice can be asked for').optional(),
});

/** Throws `badRequest` with every fault. */
export function parseCompletion(body: Buffer): CompletionBody {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw new HornbeampondError('badRequest', 'The body is not JSON', {}, error);
  }
  const parsed = completionSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const faults = parsed.error.issues.map((issue) => ({
    where: issue.path.join('.'),
    reason: describeIssue(issue),
  }));
  throw new HornbeampondError('badRequest', 'The body is not a chat completion', { faults });
}
