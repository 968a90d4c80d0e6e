"""Creation of plans from intents."""

import dataclasses
import itertools
import secrets
import typing

from sapphirepaddle import clock, codes, errors
from sapphirepaddle.checks import objects_form, registry
from sapphirepaddle.fleet import configuration_sync
from sapphirepaddle.objects import configuration, references
from sapphirepaddle.operators import effects, intent, intent_types, plan
from sapphirepaddle.routing import ejection_state, routing_table

IDENTIFIER_BYTES: typing.Final = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlanRequest:
    """An operator's request for a plan.

    Attributes:
        intent: Name of the intent.
        fields: Fields of the intent.
        reason: Reason given by the operator.
        overrides_floor: Whether a service may fall below its floor.
    """

    intent: str
    fields: dict[str, typing.Any]
    reason: str = ''
    overrides_floor: bool = False


class Planner:
    """Creates plans from intents.

    Attributes:
        configuration_sync: Provides the active configuration.
        routing_table: Provides the ejection states of targets.
    """

    def __init__(
        self,
        sync: configuration_sync.ConfigurationSync,
        table: routing_table.RoutingTable,
    ) -> None:
        """Initialize a planner for the active configuration."""
        self.configuration_sync = sync
        self.routing_table = table

    def make_plan(self, plan_request: PlanRequest, actor: str) -> plan.Plan:
        """Create the plan of an intent.

        Raises:
            OperatorError: If the intent is invalid, or would lower a
                service below its floor without an override.
            ConfigurationError: If the resulting change is invalid.
        """
        current = self.configuration_sync.current.configuration
        parsed_intent = intent_types.parse(
            plan_request.intent, plan_request.fields
        )
        draft = parsed_intent.draft(current)
        identifier = secrets.token_hex(IDENTIFIER_BYTES)
        base_plan = plan.Plan(
            identifier=identifier,
            intent=plan_request.intent,
            fields=plan_request.fields,
            actor=actor,
            reason=plan_request.reason,
            at=clock.wall(),
            revision=current.revision,
            basis=tuple(self.collect_basis(draft, current)),
            puts=tuple(draft.puts),
            deletes=tuple(draft.deletes),
            leaving=tuple(draft.leaving),
            withdrawn=tuple(draft.withdrawn),
            overrides_floor=plan_request.overrides_floor,
        )
        if not base_plan.changes_configuration:
            return base_plan
        return self.add_effects(base_plan, current)

    def collect_basis(
        self,
        draft: intent.Draft,
        current: configuration.Configuration,
    ) -> list[plan.Basis]:
        """Return digests of the current objects that a draft changes."""
        changed_objects = itertools.chain(
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
            for kind, name in changed_objects
        ]

    def add_effects(
        self,
        base_plan: plan.Plan,
        current: configuration.Configuration,
    ) -> plan.Plan:
        """Return a copy of a plan with its effects and warnings.

        Raises:
            OperatorError: If the plan lowers a service below its floor
                without an override.
            ConfigurationError: If the resulting change is invalid.
        """
        entry = base_plan.create_change(current.revision + 1)
        references.check(current, entry)
        after = references.preview(current, entry)
        floor_effects = effects.floor_effects(
            current, after, self.ejected_targets()
        )
        broken_services = [
            effect.service for effect in floor_effects if effect.is_broken
        ]
        if broken_services and not base_plan.overrides_floor:
            raise errors.OperatorError(
                codes.FLOOR_BROKEN,
                f'services below their floor: {", ".join(broken_services)}',
            )
        return dataclasses.replace(
            base_plan,
            floors=tuple(floor_effects),
            quotas=tuple(effects.quota_effects(current, after)),
            warnings=(
                *self.warnings(floor_effects),
                *find_new_findings(current, after),
            ),
        )

    def ejected_targets(self) -> frozenset[str]:
        """Return the names of the targets that the fleet ejected."""
        return frozenset(
            state.target
            for state in self.routing_table.ejection_states.values()
            if state.standing is ejection_state.Standing.EJECTED
        )

    def warnings(self, floor_effects: list[effects.FloorEffect]) -> list[str]:
        """Return warnings about services that lose available slots.

        Services that fall below their floor come first.
        """
        broken_floors = [
            f'{effect.service} falls below its floor: {effect.after} of '
            f'{effect.slots} slots, floor {effect.floor:g}'
            for effect in floor_effects
            if effect.is_broken
        ]
        reduced_services = [
            f'{effect.service} goes from {effect.before} to {effect.after} '
            'slots; the others get its work at once'
            for effect in floor_effects
            if effect.after < effect.before and not effect.is_broken
        ]
        return broken_floors + reduced_services


def find_new_findings(
    current: configuration.Configuration, after: configuration.Configuration
) -> list[str]:
    """Return what the checks find in a plan and did not find before."""
    return [
        found.line
        for found in registry.new_findings(
            objects_form.from_objects(current, {}),
            objects_form.from_objects(after, {}),
        )
    ]
