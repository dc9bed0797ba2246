/**
 * Generates request arrivals from a seed, shared by measurements: conversations whose prompts grow
 * with each turn, workspaces of different sizes, and a peak in the middle.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Milliseconds } from '@hornbeampond/schema';
import type { CallerRequest } from '../entryEvents.js';
import { exampleRequest } from './examples.js';

export interface Arrival {
  readonly at: Milliseconds;
  readonly request: CallerRequest;
  readonly answerTokens: number;
}

export interface ArrivalPattern {
  readonly seed: number;
  readonly span: Milliseconds;
  /** Mean number of arrivals per second outside the peak. */
  readonly perSecond: number;
  /** Arrival rate during the middle third of the span, as a multiple of `perSecond`. */
  readonly rushFactor: number;
  /** Relative weight of each workspace. */
  readonly workspaces: Readonly<Record<string, number>>;
  /** Request paths, chosen with equal probability. */
  readonly paths: readonly string[];
}

const TOKENS_PER_TURN = 250;
const MAX_TURNS = 12;
const CONVERSATIONS_PER_WORKSPACE = 40;
const MIN_ANSWER_TOKENS = 20;
const MAX_ANSWER_TOKENS = 120;
const UNIFORM_RESOLUTION = 1_000_000;

class Conversations {
  private readonly turns = new Map<string, { generation: number; turn: number }>();

  /** Returns the prefix digests of the next turn of a random conversation of the workspace. */
  next(workspace: string, random: RandomGenerator): string[] {
    const number = uniformInt(random, 0, CONVERSATIONS_PER_WORKSPACE - 1);
    const name = `${workspace}/${number}`;
    const conversation = this.turns.get(name) ?? { generation: 0, turn: 0 };
    conversation.turn += 1;
    if (conversation.turn > MAX_TURNS) {
      conversation.generation += 1;
      conversation.turn = 1;
    }
    this.turns.set(name, conversation);
    const turns = Array.from(
      { length: conversation.turn },
      (_, turn) => `${name}/${conversation.generation}/${turn}`,
    );
    return [workspace, ...turns];
  }
}

function drawWorkspace(pattern: ArrivalPattern, random: RandomGenerator): string {
  const weights = Object.entries(pattern.workspaces);
  let remainingWeight = uniformInt(
    random,
    1,
    weights.reduce((sum, [, weight]) => sum + weight, 0),
  );
  for (const [workspace, weight] of weights) {
    remainingWeight -= weight;
    if (remainingWeight <= 0) return workspace;
  }
  return '';
}

function rateAt({ span, perSecond, rushFactor }: ArrivalPattern, at: Milliseconds): number {
  const isRush = at >= span / 3 && at < (2 * span) / 3;
  return (perSecond / 1000) * (isRush ? rushFactor : 1);
}

export function makeArrivals(pattern: ArrivalPattern): Arrival[] {
  const random = xoroshiro128plus(pattern.seed);
  const conversations = new Conversations();
  const arrivals: Arrival[] = [];
  let at = 0;
  while (at < pattern.span) {
    const uniform = uniformInt(random, 1, UNIFORM_RESOLUTION) / UNIFORM_RESOLUTION;
    at += -Math.log(uniform) / rateAt(pattern, at);
    const workspace = drawWorkspace(pattern, random);
    const prefixDigests = conversations.next(workspace, random);
    const path = pattern.paths[uniformInt(random, 0, pattern.paths.length - 1)] ?? '/';
    const promptTokens = prefixDigests.length * TOKENS_PER_TURN;
    const answerTokens = uniformInt(random, MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS);
    const request = exampleRequest(`request-${arrivals.length}`, {
      workspace,
      path,
      prefixDigests,
      promptTokens,
      maxTokens: MAX_ANSWER_TOKENS,
    });
    arrivals.push({ at, request, answerTokens });
  }
  return arrivals;
}
