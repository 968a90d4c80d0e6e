"""Making plans from intents."""

import dataclasses
import itertools
import secrets
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.fleet import configuration_sync
from sapphirepaddle.objects import configuration, references
from sapphirepaddle.operators import effects, intent, intent_types, plan
from sapphirepaddle.routing import routing_table, ejection_state

IDENTIFIER_BYTES: typing.Final = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlanRequest:
    """What an operator asks for.

    Attributes:
        intent: Name of the intent.
        fields: Its fields.
        reason: Why, in the operator's words.
        overrides_floor: Whether a broken floor is accepted.
    """

    intent: str
    fields: dict[str, typing.Any]
    reason: str = ''
    overrides_floor: bool = False


class Planner:
    """Makes plans from intents.

    Attributes:
        sync: Configuration in force.
        table: Verdicts on targets.
    """

    def __init__(
        self,
        sync: configuration_sync.ConfigurationSync,
        services: routing_table.RoutingTable,
    ) -> None:
        """Store the parts."""
        self.configuration_sync = sync
        self.routing_table = services

    def make_plan(self, wanted: PlanRequest, actor: str) -> plan.Plan:
        """Make the plan of an intent.

        Raises:
            OperatorError: If the intent is wrong or would break a floor
                and the operator does not override it.
            ConfigurationError: If the change would be refused.
        """
        current = self.configuration_sync.current.configuration
        parsed = intent_types.parse(wanted.intent, wanted.fields)
        draft = parsed.draft(current)
        identifier = secrets.token_hex(IDENTIFIER_BYTES)
        bare = plan.Plan(
            identifier=identifier,
            intent=wanted.intent,
            fields=wanted.fields,
            actor=actor,
            reason=wanted.reason,
            at=clock.wall(),
            revision=current.revision,
            basis=tuple(self.collect_basis(draft, current)),
            puts=tuple(draft.puts),
            deletes=tuple(draft.deletes),
            leaving=tuple(draft.leaving),
            withdrawn=tuple(draft.withdrawn),
            overrides_floor=wanted.overrides_floor,
        )
        if not bare.changes_configuration:
            return bare
        return self.add_effects(bare, current)

    def collect_basis(
        self,
        draft: intent.Draft,
        current: configuration.Configuration,
    ) -> list[plan.Basis]:
        """Return the objects that a draft changes, as they are now."""
        touched = itertools.chain(
            ((put.kind, put.name) for put in draft.puts),
            ((removal.kind, removal.name) for removal in draft.deletes),
        )
        return [
            plan.Basis(
                kind=kind,
                name=name,
                digest=plan.object_digest(
                    current.objects_of_kind(kind).get(name)
                ),
            )
            for kind, name in touched
        ]

    def add_effects(
        self,
        bare: plan.Plan,
        current: configuration.Configuration,
    ) -> plan.Plan:
        """Return a plan with its effects and warnings.

        Raises:
            OperatorError: If it breaks a floor without an override.
            ConfigurationError: If the change would be refused.
        """
        entry = bare.create_change(current.revision + 1)
        references.check(current, entry)
        after = references.preview(current, entry)
        floors = effects.floor_effects(current, after, self.ejected_targets())
        broken = [effect.service for effect in floors if effect.is_broken]
        if broken and not bare.overrides_floor:
            raise errors.OperatorError(
                codes.FLOOR_BROKEN,
                f'services {", ".join(broken)}',
            )
        return dataclasses.replace(
            bare,
            floors=tuple(floors),
            quotas=tuple(effects.quota_effects(current, after)),
            warnings=tuple(self.warnings(floors)),
        )

    def ejected_targets(self) -> frozenset[str]:
        """Return the targets that the fleet ejected."""
        return frozenset(
            held.target
            for held in self.routing_table.ejection_states.values()
            if held.standing is ejection_state.Standing.EJECTED
        )

    def warnings(self, floors: list[effects.FloorEffect]) -> list[str]:
        """Return what an operator should know about the effects."""
        broken = [
            f'{effect.service} falls below its floor: {effect.after} of '
            f'{effect.slots} slots, floor {effect.floor:g}'
            for effect in floors
            if effect.is_broken
        ]
        smaller = [
            f'{effect.service} goes from {effect.before} to {effect.after} '
            'slots; the others get its work at once'
            for effect in floors
            if effect.after < effect.before and not effect.is_broken
        ]
        return broken + smaller
